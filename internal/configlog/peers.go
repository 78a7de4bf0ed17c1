package configlog

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	defaultPeerInterval = time.Second
	peerTimeout         = 5 * time.Second
	maximumFetch        = 512
	// maximumFetchBytes bounds the records of one answer. A single larger record is sent alone.
	maximumFetchBytes = 1 << 20
)

// followPeers periodically fetches from peers while the log is unreachable or no longer retains the next record.
func (r *Replica) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, delay.Spread(r.options.PeerInterval))
		if ctx.Err() != nil {
			return nil
		}
		if r.needsPeers() {
			r.fetchFromPeers(ctx)
		}
	}
	return nil
}

func (r *Replica) needsPeers() bool {
	return !r.LogReachable() || r.behindGap()
}

// behindGap reports whether the log has trimmed records that the state has not applied.
func (r *Replica) behindGap() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.FirstPending() > 0 || r.reader.Applied()+1 < r.earliest
}

// fetchFromPeers queries the peers in random order until one of them answers.
func (r *Replica) fetchFromPeers(ctx context.Context) {
	peers := append([]string(nil), r.options.Peers()...)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers {
		err := r.FetchFrom(ctx, peer)
		if err == nil || ctx.Err() != nil {
			return
		}
		r.options.Events.EmitError(event.ConfigPeerFailed, err, nil)
	}
}

// FetchFrom brings the replica up to the state of one peer (ip:port). A peer with an older state has no effect.
func (r *Replica) FetchFrom(ctx context.Context, peer string) error {
	feed := peerpb.NewConfigFeedProtobufClient("http://"+peer, r.client)
	for {
		request := &peerpb.FetchRequest{From: uint64(r.applied()) + 1, Max: maximumFetch}
		response, err := feed.Fetch(ctx, request)
		if err != nil {
			return failure.Wrap(err, failure.Unavailable, "config fetch", peer)
		}
		more, err := r.applyResponse(response, peer)
		if err != nil || !more {
			return err
		}
	}
}

func (r *Replica) applied() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Applied()
}

// applyResponse applies a peer's response and reports whether the peer may have more records.
func (r *Replica) applyResponse(response *peerpb.FetchResponse, peer string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.reader.Applied()
	if len(response.GetSnapshot()) > 0 {
		restored, report, err := r.reader.Restore(response.GetSnapshot(), platform.Offset(response.GetSnapshotAsOf()))
		if err != nil {
			return false, failure.Wrap(err, failure.Invalid, "config snapshot", peer)
		}
		r.handleReport(report, restored)
	}
	r.handleReport(r.reader.Apply(recordsOf(response.GetRecords())), false)
	applied := r.reader.Applied()
	r.end = max(r.end, platform.Offset(response.GetApplied()))
	// While the log is reachable, its end defines the newest state, because a peer's state may be stale.
	if !r.LogReachable() && uint64(applied) >= response.GetApplied() {
		r.caughtUp = true
	}
	r.publish()
	if applied > before {
		r.options.Events.Emit(event.ConfigFromPeer, event.Fields{"peer": peer, "from": before + 1, "applied": applied})
	}
	return applied > before && uint64(applied) < response.GetApplied(), nil
}

func recordsOf(messages []*peerpb.ConfigRecord) []platform.Record {
	records := make([]platform.Record, 0, len(messages))
	for _, record := range messages {
		records = append(records, platform.Record{Offset: platform.Offset(record.GetOffset()), Data: record.GetData()})
	}
	return records
}

// feed implements the ConfigFeed service on top of a replica.
type feed struct {
	replica *Replica

	mu sync.Mutex
	// snapshot is cached while the records after it are retained, because encoding is slow with many adapters.
	snapshot []byte
	asOf     platform.Offset
}

// Feed returns the handler of the ConfigFeed service, to be mounted at peerpb.ConfigFeedPathPrefix.
func (r *Replica) Feed() http.Handler { return peerpb.NewConfigFeedServer(&r.feed) }

// Fetch implements peerpb.ConfigFeed.
func (f *feed) Fetch(_ context.Context, request *peerpb.FetchRequest) (*peerpb.FetchResponse, error) {
	if err := f.replica.Ready(); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	from := platform.Offset(max(request.GetFrom(), 1))
	limit := int(min(request.GetMax(), maximumFetch))
	records, retained, applied := f.recent(from, limit)
	if retained {
		return &peerpb.FetchResponse{Applied: uint64(applied), Records: messagesOf(records)}, nil
	}
	snapshot, asOf, err := f.encode()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchResponse{Applied: uint64(max(applied, asOf)), Snapshot: snapshot, SnapshotAsOf: uint64(asOf)}, nil
}

func (f *feed) recent(from platform.Offset, limit int) ([]platform.Record, bool, platform.Offset) {
	f.replica.mu.Lock()
	defer f.replica.mu.Unlock()
	records, retained := f.replica.reader.Recent(from, limit)
	return records, retained, f.replica.reader.Applied()
}

func messagesOf(records []platform.Record) []*peerpb.ConfigRecord {
	var messages []*peerpb.ConfigRecord
	size := 0
	for _, record := range records {
		size += len(record.Data)
		if size > maximumFetchBytes && len(messages) > 0 {
			break
		}
		messages = append(messages, &peerpb.ConfigRecord{Offset: uint64(record.Offset), Data: record.Data})
	}
	return messages
}

// encode returns the cached snapshot, or a new one when the records after the cached one are no longer retained.
func (f *feed) encode() ([]byte, platform.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot != nil {
		if _, retained, _ := f.recent(f.asOf+1, 1); retained {
			return f.snapshot, f.asOf, nil
		}
	}
	capture := f.replica.capture()
	snapshot, err := capture.Encode()
	if err != nil {
		return nil, 0, err
	}
	f.snapshot, f.asOf = snapshot, capture.AsOf()
	return f.snapshot, f.asOf, nil
}

func (r *Replica) capture() resource.Capture {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Machine().Capture()
}
