package node

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

// entryStore serves the servers' entries and no origins. The other calls of serving.Store aren't used.
type entryStore struct {
	serving.Store
	mu      sync.Mutex
	entries []serving.Server
	// refuses and hangs make all calls fail, at once or with their context.
	refuses, hangs bool
	reads          int
}

func (s *entryStore) ReadServers(ctx context.Context, _ serving.Cursor) (serving.ServerBatch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.hangs {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
	}
	if s.hangs || s.refuses {
		return serving.ServerBatch{}, errRefused
	}
	return serving.ServerBatch{
		Complete: true, Present: s.entries, Next: serving.Cursor{Known: true, Offset: int64(len(s.entries))},
	}, nil
}

func (s *entryStore) ReadOrigins(context.Context, serving.Cursor) ([]serving.StreamOrigin, serving.Cursor, error) {
	return nil, serving.Cursor{}, nil
}

func entryOf(id, version string) serving.Server {
	return serving.Server{ID: id, Service: "x", Address: id + ":1", SoftwareVersion: version, Slots: 4}
}

// outOfStep is a node that has known one version of a service for longer than streams last, and may be cut off from the other
// node from now on. The other one knows a second version.
type outOfStep struct {
	*Node
	other *Node
	store *entryStore
	// cut makes the node deaf for messages.
	cut atomic.Bool
}

// streamAge is how long ago the streams of the tests may have begun.
const streamAge = 50 * time.Millisecond

func newOutOfStep(t *testing.T) *outOfStep {
	o := &outOfStep{Node: newCrashesNode(t), other: newCrashesNode(t), store: &entryStore{}}
	o.store.entries = []serving.Server{entryOf("s1", "v1")}
	o.Node.store = o.store
	go func() {
		_ = o.link.Run(t.Context(), func(now time.Time, message peerlink.Message) {
			if !o.cut.Load() {
				o.handleMessage(now, message)
			}
		})
	}()
	go func() { _ = o.other.link.Run(t.Context(), o.other.handleMessage) }()
	for _, n := range []*Node{o.Node, o.other} {
		n.view.PutEntry(time.Now(), entryOf("s1", "v1"))
		n.watch.recordServersRead(time.Now(), serving.Position{Offset: 1}, n.view.Fingerprint())
		n.watch.checkCurrent(time.Now(), n.view.Fingerprint())
	}
	o.peers.recordSeen(time.Now(), o.other.link.Address(), "a", 2)
	o.other.peers.recordSeen(time.Now(), o.link.Address(), "a", 2)
	pass(2 * streamAge)
	return o
}

// secondVersionJoins adds a server of a second version, of which only the other node and the store know, and begins a stream
// there.
func (o *outOfStep) secondVersionJoins() (request string) {
	o.store.mu.Lock()
	o.store.entries = append(o.store.entries, entryOf("s2", "v2"))
	o.store.mu.Unlock()
	o.other.view.PutEntry(time.Now(), entryOf("s2", "v2"))
	o.other.origins.Record(streamorigin.Origin{
		Request: "r2", Service: "x", SoftwareVersion: "v2", Until: time.Now().Add(time.Minute),
	})
	return "r2"
}

func (o *outOfStep) find(request string) streamorigin.Answer {
	return o.origins.Find(context.Background(), request, "x", streamAge)
}

// foundWithin is the time within which a resume is decided where nobody answers.
const foundWithin = time.Second

// Guards against a stream of a version that has just joined which goes on at the version before, because the node was cut off
// from the others and the store when the version joined.
func TestNodeOutOfStepDoesNotTakeItsVersionForTheOnlyOne(t *testing.T) {
	for name, store := range map[string]func(*entryStore){
		"the store refuses": func(s *entryStore) { s.refuses = true },
		"the store hangs":   func(s *entryStore) { s.hangs = true },
		"the store answers": func(*entryStore) {},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			o := newOutOfStep(t)
			o.cut.Store(true)
			store(o.store)
			request := o.secondVersionJoins()
			for _, named := range []string{request, ""} {
				begun := time.Now()
				g.Expect(o.find(named).Known()).To(gomega.BeFalse())
				g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", foundWithin))
			}
		})
	}
}

// Guards against the refusal of all resumes at a node that is cut off: those of streams that it began go on, and so do those of
// the only version that the store knows.
func TestNodeOutOfStepResumesWhatItCanProve(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOutOfStep(t)
	o.cut.Store(true)
	only := streamorigin.Answer{Basis: streamorigin.OnlyVersion, Service: "x", SoftwareVersion: "v1"}
	g.Expect(o.find("unknown")).To(gomega.Equal(only))
	g.Expect(o.find("")).To(gomega.Equal(only))
	o.origins.Record(streamorigin.Origin{
		Request: "r1", Service: "x", SoftwareVersion: "v1", Until: time.Now().Add(time.Minute),
	})
	o.secondVersionJoins()
	o.store.refuses = true
	g.Expect(o.find("r1").Basis).To(gomega.Equal(streamorigin.Recorded))
}

// Guards against reads of the store for each resume while all other nodes answer, and against a record that isn't found.
func TestResumeNeedsNoReadWhileAllNodesAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOutOfStep(t)
	g.Expect(o.find("unknown").Basis).To(gomega.Equal(streamorigin.OnlyVersion))
	g.Expect(o.store.reads).To(gomega.BeZero())
	request := o.secondVersionJoins()
	g.Expect(o.find(request)).To(gomega.Equal(
		streamorigin.Answer{Basis: streamorigin.Recorded, Service: "x", SoftwareVersion: "v2"}))
}

// Guards against a read of the store for each of many resumes at once.
func TestResumesShareAReadOfTheEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOutOfStep(t)
	o.cut.Store(true)
	var resumes sync.WaitGroup
	for range 50 {
		resumes.Go(func() { o.find("unknown") })
	}
	resumes.Wait()
	g.Expect(o.store.reads).To(gomega.BeNumerically("<=", 4))
}
