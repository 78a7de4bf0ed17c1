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

// nodeTable caches the node table that a scheduler last sent.
type nodeTable struct {
	server      *Server
	incarnation string
	client      *http.Client

	mu    sync.Mutex
	nodes []*peerpb.NodeEntry
	// readAt is the time at which the last successful sync was sent; zero before the first.
	readAt time.Time

	// The fields below are only accessed by the goroutine of run.
	sequence  uint64
	scheduler string
	// version is the version of the cached table. Versions are comparable only if they come from the same incarnation
	// of the same scheduler, which source identifies.
	version uint64
	source  string
}

func newNodeTable(s *Server) *nodeTable {
	return &nodeTable{server: s, incarnation: ident.New(), client: &http.Client{Timeout: syncTimeout}}
}

// snapshot returns the cached table and the time of the sync that last confirmed it.
func (t *nodeTable) snapshot() ([]*peerpb.NodeEntry, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes, t.readAt
}

// schedulers returns the schedulers to try, in order: the last one that answered, those from the settings, and those
// from the table.
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

// configPeers returns the addresses of the other processes that serve ConfigFeed.
func (t *nodeTable) configPeers() []string {
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

// run periodically syncs with a scheduler until ctx ends. Once the shutdown has begun, the syncs announce that the
// process is leaving.
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
				t.sendLeaving(ctx)
			}
			return nil
		}
	}
}

// sendLeaving announces to the last scheduler that the process is leaving. It is used when the shutdown completed
// before the next sync.
func (t *nodeTable) sendLeaving(ctx context.Context) {
	if t.scheduler == "" {
		return
	}
	syncCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), syncTimeout)
	defer cancel()
	if err := t.sync(syncCtx, t.scheduler, true); err != nil {
		t.server.events.EmitError(event.ConfigSyncFailed, err, nil)
	}
}

// syncAny syncs with the first scheduler that answers.
func (t *nodeTable) syncAny(ctx context.Context, leaving bool) {
	var lastErr error
	for _, address := range t.schedulers() {
		lastErr = t.sync(ctx, address, leaving)
		if lastErr == nil || ctx.Err() != nil {
			return
		}
	}
	if lastErr == nil {
		lastErr = failure.New(failure.Unavailable, "sync", "", "no scheduler is known")
	}
	t.server.events.EmitError(event.ConfigSyncFailed, lastErr, nil)
}

// sync sends one sync request to a scheduler and updates the table from its response.
func (t *nodeTable) sync(ctx context.Context, address string, leaving bool) error {
	sentAt := time.Now()
	t.sequence++
	response, err := peerpb.NewPermitsProtobufClient("http://"+address, t.client).Sync(ctx, t.request(address, leaving))
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "sync", address)
	}
	t.scheduler = address
	source := address + " " + response.GetSchedulerIncarnation()
	if len(response.GetNodes()) > 0 {
		t.update(response.GetNodes(), sentAt)
		t.version, t.source = response.GetNodeTableVersion(), source
		return nil
	}
	if t.source != source || t.version != response.GetNodeTableVersion() {
		// The scheduler restarted, so its version does not relate to the cached table. The next sync requests the full
		// table.
		t.version = 0
		return nil
	}
	t.update(nil, sentAt)
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

// update stores a new table, or confirms the cached one when nodes is nil.
func (t *nodeTable) update(nodes []*peerpb.NodeEntry, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if nodes != nil {
		t.nodes = nodes
	}
	t.readAt = sentAt
}
