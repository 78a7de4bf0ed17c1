package apiserver

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	role        = "apiserver"
	syncTimeout = 2 * time.Second
)

// nodeTable is the node table as a scheduler last told it.
type nodeTable struct {
	server      *Server
	incarnation string
	client      *http.Client

	mu    sync.Mutex
	nodes []*peerpb.NodeEntry
	// readAt is the time at which the last answered sync was sent; zero before the first.
	readAt time.Time

	// The fields below belong to the goroutine of run.
	sequence  uint64
	scheduler string
	// version and from say which scheduler's numbering the held table has.
	version uint64
	from    string
}

func newNodeTable(s *Server) *nodeTable {
	return &nodeTable{server: s, incarnation: ident.New(), client: &http.Client{Timeout: syncTimeout}}
}

// snapshot returns the table and the time of the sync that confirmed it.
func (t *nodeTable) snapshot() ([]*peerpb.NodeEntry, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes, t.readAt
}

// schedulers returns the schedulers to try: the last that answered, those of the settings, and those of the table.
func (t *nodeTable) schedulers() []string {
	var addresses []string
	add := func(address string) {
		if address != "" && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	add(t.scheduler)
	for _, address := range t.server.settings.Schedulers {
		add(address)
	}
	nodes, _ := t.snapshot()
	for _, node := range nodes {
		if node.GetState() != peerpb.NodeState_DEAD {
			add(node.GetScheduler())
		}
	}
	return addresses
}

// feeds returns the processes that serve ConfigFeed, without this one.
func (t *nodeTable) feeds() []string {
	nodes, _ := t.snapshot()
	addresses := slices.Clone(t.server.settings.Schedulers)
	for _, node := range nodes {
		if node.GetState() != peerpb.NodeState_DEAD {
			addresses = append(addresses, node.GetApiserver(), node.GetScheduler(), node.GetGateway())
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool {
		return address == "" || address == t.server.settings.Listen
	})
}

// run syncs with one scheduler until ctx ends, and says that the process leaves once the shutdown has begun.
func (t *nodeTable) run(ctx context.Context) error {
	ticker := time.NewTicker(t.server.settings.Config.SyncInterval.Std())
	defer ticker.Stop()
	stopping := t.server.stopping
	leaving := false
	for {
		t.syncAny(ctx, leaving)
		select {
		case <-ticker.C:
		case <-stopping:
			leaving, stopping = true, nil
		case <-ctx.Done():
			if !leaving {
				t.sayLeaving(ctx)
			}
			return nil
		}
	}
}

// sayLeaving tells the last scheduler when the shutdown was over before the next sync.
func (t *nodeTable) sayLeaving(ctx context.Context) {
	if t.scheduler == "" {
		return
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), syncTimeout)
	defer cancel()
	if err := t.sync(last, t.scheduler, true); err != nil {
		t.server.events.EmitError(event.ConfigSyncFailed, err, nil)
	}
}

// syncAny syncs with the first scheduler that answers.
func (t *nodeTable) syncAny(ctx context.Context, leaving bool) {
	var last error
	for _, address := range t.schedulers() {
		last = t.sync(ctx, address, leaving)
		if last == nil || ctx.Err() != nil {
			return
		}
	}
	if last == nil {
		last = failure.New(failure.Unavailable, "sync", "", "no scheduler is known")
	}
	t.server.events.EmitError(event.ConfigSyncFailed, last, nil)
}

func (t *nodeTable) sync(ctx context.Context, address string, leaving bool) error {
	sentAt := time.Now()
	t.sequence++
	answer, err := peerpb.NewPermitsProtobufClient("http://"+address, t.client).Sync(ctx, t.request(address, leaving))
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "sync", address)
	}
	t.scheduler = address
	numbering := address + " " + answer.GetSchedulerIncarnation()
	if len(answer.GetNodes()) > 0 {
		t.take(answer.GetNodes(), sentAt)
		t.version, t.from = answer.GetNodeTableVersion(), numbering
		return nil
	}
	if t.from != numbering || t.version != answer.GetNodeTableVersion() {
		// The scheduler restarted and its numbering says nothing about the held table; the next sync asks for all of it.
		t.version = 0
		return nil
	}
	t.take(nil, sentAt)
	return nil
}

func (t *nodeTable) request(address string, leaving bool) *peerpb.SyncRequest {
	s := t.server
	request := &peerpb.SyncRequest{
		Process:     s.settings.Node.Name + "/" + role,
		Incarnation: t.incarnation,
		Sequence:    t.sequence,
		Role:        role,
		Leaving:     leaving,
		Node:        s.settings.Node.Name,
		Address:     s.settings.Listen,
	}
	if address == t.scheduler {
		request.NodeTableVersion = t.version
	}
	if view := s.replica.View(); view != nil {
		request.AppliedConfig = uint64(view.Applied)
	}
	return request
}

// take keeps a new table, or confirms the held one when nodes is nil.
func (t *nodeTable) take(nodes []*peerpb.NodeEntry, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if nodes != nil {
		t.nodes = nodes
	}
	t.readAt = sentAt
}
