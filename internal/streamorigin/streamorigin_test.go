package streamorigin_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// Guards against a stream whose version changes with a later record, and against records that outlive the stream.
func TestVersionOfAStreamDoesNotChange(t *testing.T) {
	g := gomega.NewWithT(t)
	r := streamorigin.NewRegistry()
	r.Record(start, streamorigin.Origin{Request: "r", SoftwareVersion: "v1", Until: start.Add(time.Second)})
	r.Record(start, streamorigin.Origin{Request: "r", SoftwareVersion: "v2", Until: start.Add(3 * time.Second)})
	origin, found := r.Find(start.Add(2*time.Second), "r")
	g.Expect(found).To(gomega.BeTrue())
	g.Expect(origin.SoftwareVersion).To(gomega.Equal("v1"))
	_, found = r.Find(start.Add(3*time.Second), "r")
	g.Expect(found).To(gomega.BeFalse())
	_, found = r.Find(start, "other")
	g.Expect(found).To(gomega.BeFalse())
}

// Guards against a registry that grows without bound, or that forgets streams in progress while old ones are expired.
func TestRegistryIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := streamorigin.NewRegistry()
	const capacity = 20_000
	for i := range 3 * capacity {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Record(now, streamorigin.Origin{Request: fmt.Sprint(i), SoftwareVersion: "v1", Until: now.Add(time.Hour)})
	}
	now := start.Add(3 * capacity * time.Millisecond)
	for i, kept := range map[int]bool{0: false, 2*capacity - 1: false, 2 * capacity: true, 3*capacity - 1: true} {
		_, found := r.Find(now, fmt.Sprint(i))
		g.Expect(found).To(gomega.Equal(kept), "%d", i)
	}
}

// Guards against callers that exhaust a node's memory, or make its messages too large, by long IDs.
func TestLongIDsAreNotRecorded(t *testing.T) {
	g := gomega.NewWithT(t)
	r := streamorigin.NewRegistry()
	longest := strings.Repeat("x", streamorigin.MaximumRequestBytes)
	for id, recorded := range map[string]bool{longest: true, longest + "x": false, "": false} {
		origin := streamorigin.Origin{Request: id, SoftwareVersion: "v1", Until: start.Add(time.Second)}
		g.Expect(r.Record(start, origin)).To(gomega.Equal(recorded))
		_, found := r.Find(start, id)
		g.Expect(found).To(gomega.Equal(recorded))
	}
}

// Guards against a stream that is resumed by a node's guess although another node knows more or contradicts it.
func TestRecordsGoBeforeGuesses(t *testing.T) {
	g := gomega.NewWithT(t)
	unknown := streamorigin.Answer{}
	only1 := streamorigin.Answer{Basis: streamorigin.OnlyVersion, Service: "s", SoftwareVersion: "v1"}
	only2 := streamorigin.Answer{Basis: streamorigin.OnlyVersion, SoftwareVersion: "v2"}
	recorded := streamorigin.Answer{Basis: streamorigin.Recorded, SoftwareVersion: "v2"}
	g.Expect(unknown.Combine(only1)).To(gomega.Equal(only1))
	g.Expect(only1.Combine(unknown)).To(gomega.Equal(only1))
	g.Expect(only1.Combine(only1)).To(gomega.Equal(only1))
	several := streamorigin.Answer{Basis: streamorigin.SeveralVersions}
	g.Expect(only1.Combine(only2)).To(gomega.Equal(several))
	g.Expect(only1.Combine(several)).To(gomega.Equal(several))
	g.Expect(several.Combine(only1)).To(gomega.Equal(several))
	g.Expect(several.Combine(recorded)).To(gomega.Equal(recorded))
	g.Expect(several.Known()).To(gomega.BeFalse())
	g.Expect(only1.Combine(recorded)).To(gomega.Equal(recorded))
	g.Expect(recorded.Combine(only1)).To(gomega.Equal(recorded))
}

func drawNodes(t *rapid.T) []streamorigin.Node {
	zones := rapid.IntRange(1, 4).Draw(t, "zones")
	nodes := make([]streamorigin.Node, rapid.IntRange(4, 40).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = streamorigin.Node{Address: fmt.Sprintf("10.0.0.%d:7000", i), Zone: fmt.Sprintf("z%d", i%zones)}
	}
	return nodes
}

// Guards against a record that isn't found, or that is lost when two of its keepers stop.
func TestKeepersAreAmongTheTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := drawNodes(t)[:4]
		request := rapid.String().Draw(t, "request")
		keepers := streamorigin.Keepers(request, "z0", holders)
		targets := streamorigin.Targets(request, holders, drawNodes(t))
		if len(keepers) < 3 {
			t.Fatalf("only %v keep the origin", keepers)
		}
		for _, keeper := range keepers {
			if !slices.Contains(targets, keeper) {
				t.Fatalf("%v keep the origin, %v are asked", keepers, targets)
			}
		}
	})
}

// Guards against a zone that loses its records when it is cut off from the others.
func TestOwnZoneKeepsTheOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := drawNodes(t)
		inZone := 0
		for _, keeper := range streamorigin.Keepers(rapid.String().Draw(t, "request"), "z0", holders) {
			if slices.Contains(holders, streamorigin.Node{Address: keeper, Zone: "z0"}) {
				inZone++
			}
		}
		if inZone == 0 {
			t.Fatal("no holder of the zone keeps the origin")
		}
	})
}

// Guards against messages whose number grows with the site.
func TestKeepersAndTargetsAreFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request, nodes := rapid.String().Draw(t, "request"), drawNodes(t)
		keepers, targets := streamorigin.Keepers(request, "z0", nodes), streamorigin.Targets(request, nodes, nodes)
		if len(keepers) > 5 || len(targets) != min(len(nodes), 16) {
			t.Fatalf("%d keepers, %d targets of %d nodes", len(keepers), len(targets), len(nodes))
		}
	})
}

// Guards against more writers than the store's bound on calls allows, and against nodes that choose different writers.
func TestWritersAreFewAndTheSameEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := drawNodes(t)
		reversed := slices.Clone(holders)
		slices.Reverse(reversed)
		writers := map[string]bool{}
		for i := range 100 {
			writer := streamorigin.Writer(fmt.Sprint(i), holders)
			if writer != streamorigin.Writer(fmt.Sprint(i), reversed) {
				t.Fatal("the writer depends on the order of the holders")
			}
			writers[writer] = true
		}
		if len(writers) > streamorigin.MaximumWriters {
			t.Fatalf("%d writers", len(writers))
		}
	})
}

// Guards against streams of another service, or that have ended, among those that are written to the store.
func TestLiveOriginsAreThoseOfTheServiceThatMayBeResumed(t *testing.T) {
	g := gomega.NewWithT(t)
	r := streamorigin.NewRegistry()
	for request, origin := range map[string]streamorigin.Origin{
		"live":  {Service: "s", Until: start.Add(2 * time.Second)},
		"ended": {Service: "s", Until: start.Add(time.Second)},
		"other": {Service: "t", Until: start.Add(2 * time.Second)},
	} {
		origin.Request = request
		r.Record(start, origin)
	}
	live := r.Live(start.Add(time.Second), "s")
	g.Expect(live).To(gomega.HaveLen(1))
	g.Expect(live[0].Request).To(gomega.Equal("live"))
}
