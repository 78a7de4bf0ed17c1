package serverview_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against a version that counts as the only one while streams may go on that began at another: at a server that
// has left, restarted with other software, or was dropped from the view.
func TestVersionIsTheOnlyOneOnceAllOthersAreLongGone(t *testing.T) {
	for name, leave := range map[string]func(v *serverview.View, now time.Time){
		"left": func(v *serverview.View, now time.Time) { v.RemoveEntry(now, "old") },
		"restarted": func(v *serverview.View, now time.Time) {
			v.PutEntry(now, serving.Server{ID: "old", Service: "s", SoftwareVersion: "v1"})
		},
		"dropped": func(v *serverview.View, now time.Time) {
			v.RemoveEntry(now, "old")
			v.Prune(now.Add(time.Second), 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
			v := serverview.New()
			v.PutEntry(now, serving.Server{ID: "new", Service: "s", SoftwareVersion: "v1"})
			v.PutEntry(now, serving.Server{ID: "other", Service: "t", SoftwareVersion: "v9"})
			version, only := v.OnlyVersion("s", now)
			g.Expect(only).To(gomega.BeTrue())
			g.Expect(version).To(gomega.Equal("v1"))
			v.PutEntry(now, serving.Server{ID: "old", Service: "s", SoftwareVersion: "v2"})
			leave(v, now.Add(time.Minute))
			_, only = v.OnlyVersion("s", now.Add(time.Minute))
			g.Expect(only).To(gomega.BeFalse())
			_, only = v.OnlyVersion("s", now.Add(time.Minute+time.Millisecond))
			g.Expect(only).To(gomega.BeTrue())
			_, only = v.OnlyVersion("unknown", now)
			g.Expect(only).To(gomega.BeFalse())
		})
	}
}
