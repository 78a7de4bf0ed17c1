package brittle_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/brittle"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against a server that gets requests until it has rejected more than it tolerates.
func TestServerIsClosedBeforeItsToleranceIsUsedUp(t *testing.T) {
	g := gomega.NewWithT(t)
	var room brittle.Room
	room.Rejected(at(0), 6)
	g.Expect(room.ClosedUntil(at(0), 3)).To(gomega.BeZero())
	room.Rejected(at(400), 6)
	g.Expect(room.ClosedUntil(at(400), 3)).To(gomega.Equal(at(1100)))
	room.Rejected(at(500), 6)
	g.Expect(room.ClosedUntil(at(500), 3)).To(gomega.Equal(at(1500)))
	g.Expect(room.ClosedUntil(at(1600), 3)).To(gomega.BeZero())
}

// Guards against a server that tolerates one rejection or none and gets no request at all.
func TestLowToleranceClosesAfterOneRejection(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, tolerance := range []float64{0, 0.5, 1, 2} {
		var room brittle.Room
		g.Expect(room.ClosedUntil(at(0), tolerance)).To(gomega.BeZero())
		room.Rejected(at(0), 6)
		g.Expect(room.ClosedUntil(at(0), tolerance)).To(gomega.Equal(at(1100)))
	}
}

// Guards against room that stays lost, and against requests on their way that reduce it once more.
func TestRoomShrinksOncePerRejectionAndRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	var room brittle.Room
	room.Rejected(at(0), 6)
	room.Rejected(at(20), 6)
	g.Expect(room.Requests(at(50), 6)).To(gomega.Equal(5))
	for n := 1; n < 20; n++ {
		room.Rejected(at(200*n), 6)
	}
	g.Expect(room.Requests(at(4000), 6)).To(gomega.Equal(3))
	g.Expect(room.Requests(at(7000), 6)).To(gomega.Equal(4))
	g.Expect(room.Requests(at(20_000), 6)).To(gomega.Equal(6))
}
