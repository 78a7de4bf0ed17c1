package event_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"waxwingcleat.example/waxwingcleat/internal/event"
)

// blocked is a log destination that blocks until it is released.
type blocked struct{ release chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// Guards against a process that blocks because nothing reads its log.
func TestWriterNeverBlocks(t *testing.T) {
	g := gomega.NewWithT(t)
	destination := blocked{release: make(chan struct{})}
	w := event.NewWriter(destination)
	for range 5000 {
		n, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(n).To(gomega.Equal(5))
	}
	g.Expect(w.TakeDropped()).To(gomega.BeNumerically(">", 2000))
	close(destination.release)
	w.Close()
}

// Guards against a log whose volume grows without bound under load, and against dropped lines that aren't counted.
func TestRateOfAnEventIsLimited(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	log := event.NewBoundedLog(&out, logrus.InfoLevel, nil)
	written := func(name string) int { return strings.Count(out.String(), name) }
	// Ten thousand lines take well under a minute, and each second allows 150.
	for range 10_000 {
		log.Emit(event.RequestAnswered, nil)
	}
	g.Expect(written(event.RequestAnswered.Name)).To(gomega.BeNumerically("<", 9_000))
	g.Eventually(func() int {
		log.Emit(event.RequestRefused, nil)
		return written(event.LinesDropped.Name)
	}, "5s").Should(gomega.BeNumerically(">=", 1))
}
