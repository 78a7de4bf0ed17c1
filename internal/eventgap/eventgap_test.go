package eventgap_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/eventgap"
)

// Guards against an estimate that grows with the load: when most events are delayed by prompts, the typical gap is still
// the one without. Services have engines of their own.
func TestDelayedEventsDoNotCountAsTypical(t *testing.T) {
	g := gomega.NewWithT(t)
	observer := eventgap.New()
	for range 100 {
		observer.Record("busy", 23*time.Millisecond)
		observer.Record("busy", 230*time.Millisecond)
		observer.Record("busy", 310*time.Millisecond)
		observer.Record("other", 38*time.Millisecond)
	}
	typical, known := observer.Typical("busy")
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(typical).To(gomega.Equal(23 * time.Millisecond))
	other, _ := observer.Typical("other")
	g.Expect(other).To(gomega.Equal(38 * time.Millisecond))
}

// Guards against an estimate from a few events.
func TestFewEventsGiveNoTypicalGap(t *testing.T) {
	g := gomega.NewWithT(t)
	observer := eventgap.New()
	observer.Record("s", time.Millisecond)
	_, known := observer.Typical("s")
	g.Expect(known).To(gomega.BeFalse())
	_, known = observer.Typical("unseen")
	g.Expect(known).To(gomega.BeFalse())
}
