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

// followPeers fetches from peers while the log can't be read or doesn't reach back far enough.
func (r *Replica) followPeers(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, delay.Spread(r.options.PeerInterval))
		if ctx.Err() != nil {
			return nil
		}
		if r.needsPeers() {
			r.fetchFromAny(ctx)
		}
	}
	return nil
}

func (r *Replica) needsPeers() bool {
	return !r.LogReachable() || r.behindGap()
}

// behindGap reports whether records that the state lacks have passed their retention.
func (r *Replica) behindGap() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Waiting() > 0 || r.reader.Applied()+1 < r.earliest
}

// fetchFromAny asks the peers in random order until one has answered.
func (r *Replica) fetchFromAny(ctx context.Context) {
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

// FetchFrom brings the replica up to the state of one peer (ip:port). A peer with an older state changes nothing.
func (r *Replica) FetchFrom(ctx context.Context, peer string) error {
	feed := peerpb.NewConfigFeedProtobufClient("http://"+peer, r.client)
	for {
		request := &peerpb.FetchRequest{From: uint64(r.applied()) + 1, Max: maximumFetch}
		answer, err := feed.Fetch(ctx, request)
		if err != nil {
			return failure.Wrap(err, failure.Unavailable, "config fetch", peer)
		}
		progress, err := r.takeAnswer(answer, peer)
		if err != nil || !progress {
			return err
		}
	}
}

func (r *Replica) applied() platform.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Applied()
}

// takeAnswer applies a peer's answer and reports whether the peer may have more.
func (r *Replica) takeAnswer(answer *peerpb.FetchResponse, peer string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.reader.Applied()
	if len(answer.GetSnapshot()) > 0 {
		restored, report, err := r.reader.Restore(answer.GetSnapshot(), platform.Offset(answer.GetSnapshotAsOf()))
		if err != nil {
			return false, failure.Wrap(err, failure.Invalid, "config snapshot", peer)
		}
		r.take(report, restored)
	}
	r.take(r.reader.Apply(recordsOf(answer.GetRecords())), false)
	applied := r.reader.Applied()
	r.end = max(r.end, platform.Offset(answer.GetApplied()))
	// While the log answers, it decides what is the newest state; a peer's may be old.
	if !r.LogReachable() && uint64(applied) >= answer.GetApplied() {
		r.caughtUp = true
	}
	r.publish()
	if applied > before {
		r.options.Events.Emit(event.ConfigFromPeer, event.Fields{"peer": peer, "from": before + 1, "applied": applied})
	}
	return applied > before && uint64(applied) < answer.GetApplied(), nil
}

func recordsOf(sent []*peerpb.ConfigRecord) []platform.Record {
	records := make([]platform.Record, 0, len(sent))
	for _, record := range sent {
		records = append(records, platform.Record{Offset: platform.Offset(record.GetOffset()), Data: record.GetData()})
	}
	return records
}

// feed serves ConfigFeed from the replica.
type feed struct {
	replica *Replica

	mu sync.Mutex
	// snapshot is reused while the records after it are kept, because encoding one takes long with many adapters.
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
	records, kept, applied := f.recent(from, limit)
	if kept {
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
	records, kept := f.replica.reader.Recent(from, limit)
	return records, kept, f.replica.reader.Applied()
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

func (f *feed) encode() ([]byte, platform.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot != nil {
		if _, kept, _ := f.recent(f.asOf+1, 1); kept {
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
