package serverview_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against a version that is forgotten while streams may go on that began at it.
func TestVersionsOfServersThatHaveLeftAreRemembered(t *testing.T) {
	for name, leave := range map[string]func(v *serverview.View, now time.Time){
		"left": func(v *serverview.View, now time.Time) { v.RemoveEntry(now, "old", now) },
		"restarted": func(v *serverview.View, now time.Time) {
			v.PutEntry(now, serving.Server{ID: "old", Service: "s", SoftwareVersion: "v1"})
		},
		"dropped": func(v *serverview.View, now time.Time) {
			v.RemoveEntry(now, "old", now)
			v.Prune(now.Add(time.Second), 0)
		},
		"noted": func(v *serverview.View, now time.Time) {
			v.RemoveEntry(now.Add(-time.Minute), "old", now)
			v.NoteVersion("s", "v2", now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
			v := serverview.New()
			v.PutEntry(now, serving.Server{ID: "new", Service: "s", SoftwareVersion: "v1"})
			v.PutEntry(now, serving.Server{ID: "other", Service: "t", SoftwareVersion: "v9"})
			g.Expect(v.VersionsSince("s", now)).To(gomega.Equal([]string{"v1"}))
			v.PutEntry(now, serving.Server{ID: "old", Service: "s", SoftwareVersion: "v2"})
			leave(v, now.Add(time.Minute))
			g.Expect(v.VersionsSince("s", now.Add(time.Minute))).To(gomega.Equal([]string{"v1", "v2"}))
			g.Expect(v.VersionsSince("s", now.Add(time.Minute+time.Millisecond))).To(gomega.Equal([]string{"v1"}))
			g.Expect(v.VersionsSince("unknown", now)).To(gomega.BeEmpty())
		})
	}
}

// Guards against a version that is missing in what a reader records, and against ages from the wrong one of two sources.
func TestVersionAgesNameAllVersionsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	v := serverview.New()
	v.PutEntry(now, serving.Server{ID: "present", Service: "s", SoftwareVersion: "v1"})
	v.PutEntry(now, serving.Server{ID: "left", Service: "s", SoftwareVersion: "v2"})
	v.RemoveEntry(now.Add(30*time.Second), "left", now.Add(30*time.Second))
	v.NoteVersion("s", "v2", now)
	v.NoteVersion("s", "v3", now.Add(20*time.Second))
	v.NoteVersion("s", "v4", now.Add(-time.Hour))
	age := func(version string, age time.Duration) serving.VersionAge {
		return serving.VersionAge{ServiceVersion: serving.ServiceVersion{Service: "s", SoftwareVersion: version}, Age: age}
	}
	g.Expect(v.VersionAges(now.Add(time.Minute), time.Minute)).To(gomega.ConsistOf(
		age("v1", 0), age("v2", 30*time.Second), age("v3", 40*time.Second)))
}
