package serverview_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

func adapterNamed(number int) serving.Adapter {
	return serving.Adapter{Model: "m", Name: fmt.Sprintf("a%d", number)}
}

// Guards against a view that differs from what the holder published when publications are lost in any order: the view
// always equals the latest received full publication, or the latest received delta that is based on it.
func TestLostPublicationsLeaveNoFalseBelief(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := serverview.New()
		now := start
		v.PutEntry(now, entry("s1"))
		held := map[serving.Adapter]int{}
		state := serverview.Published{ServerID: "s1", Holder: "h", Fence: 1, Ready: true}
		var full, receivedFull serverview.Published
		expected := map[serving.Adapter]int{}
		for range rapid.IntRange(1, 40).Draw(t, "publications") {
			if rapid.Bool().Draw(t, "changes") {
				adapter := adapterNamed(rapid.IntRange(0, 4).Draw(t, "adapter"))
				if version := rapid.IntRange(0, 2).Draw(t, "version"); version > 0 {
					held[adapter] = version
				} else {
					delete(held, adapter)
				}
				state.Revision++
			}
			state.Sequence++
			state.Adapters = maps.Clone(held)
			message := state
			if full.Sequence == 0 || rapid.IntRange(0, 4).Draw(t, "full") == 0 {
				full = state
			} else {
				message = state.Since(full)
			}
			now = now.Add(100 * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
				continue
			}
			v.Publish(now, message)
			if message.Kind == serverview.Full {
				receivedFull = full
			}
			if receivedFull.Sequence > 0 && receivedFull.Revision == full.Revision {
				expected = maps.Clone(held)
			}
			for number := range 5 {
				adapter := adapterNamed(number)
				c := v.Candidates(now, "models", adapter)[0]
				version, present := expected[adapter]
				if c.Present != present || c.Version != version {
					t.Fatalf("%s: present %v in version %d, published was %v in %d",
						adapter, c.Present, c.Version, present, version)
				}
			}
		}
	})
}

// Guards against a request that waits for the next publication although its adapter is already announced as loaded.
func TestArrivalIsVisibleBeforeTheNextPublication(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	state := serverview.Published{ServerID: "s1", Holder: "h", Fence: 1, Sequence: 1, Revision: 1, Ready: true}
	v.Publish(start, state)
	present := func() bool { return v.Candidates(start, "models", adapterNamed(1))[0].Present }
	arrival := serving.AdapterVersion{Adapter: adapterNamed(1), Version: 1}
	v.Arrived(start, "another", "s1", arrival)
	g.Expect(present()).To(gomega.BeFalse())
	v.Arrived(start, "h", "s1", arrival)
	g.Expect(present()).To(gomega.BeTrue())
}

// Guards against waiting requests that reevaluate all servers for each state of one message: on rmams-epaves-grown, a
// holder publishes eight servers ten times a second.
func TestOneMessageNotifiesWaitingRequestsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	states := []serverview.Published{}
	for i := range 8 {
		id := fmt.Sprintf("s%d", i)
		v.PutEntry(start, entry(id))
		states = append(states, serverview.Published{ServerID: id, Holder: "h", Sequence: 1, Ready: true})
	}
	changed := v.Changed()
	g.Expect(v.Publish(start, states...)).To(gomega.BeTrue())
	g.Expect(changed).To(gomega.BeClosed())
	changed = v.Changed()
	g.Expect(v.Publish(start, states...)).To(gomega.BeFalse())
	g.Expect(changed).NotTo(gomega.BeClosed())
}

// Guards against a load whose age and arrivals don't reach the choice, and against a report that counts as younger than it is.
func TestCandidatesCarryTheAgeOfTheirLoad(t *testing.T) {
	g := gomega.NewWithT(t)
	v := serverview.New()
	v.PutEntry(start, entry("s1"))
	v.Publish(start, serverview.Published{
		ServerID: "s1", Holder: "h", Sequence: 1, Ready: true, Running: 5, Waiting: 1, LoadAge: 200 * time.Millisecond, Asked: 3,
		Arrivals: 7,
	})
	v.Begin(start, "s1")
	c := v.Candidates(start.Add(300*time.Millisecond), "models", serving.Adapter{})[0]
	g.Expect(c.Reported).To(gomega.Equal(6))
	g.Expect(c.Asked).To(gomega.Equal(4))
	g.Expect(c.SentSince).To(gomega.Equal(1))
	g.Expect(c.LoadAge).To(gomega.Equal(500 * time.Millisecond))
	g.Expect(c.Arrivals).To(gomega.Equal(7.0))
}
