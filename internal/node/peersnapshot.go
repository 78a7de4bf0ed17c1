package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const (
	// peerSnapshotPath is served over TCP on the node's peer address.
	peerSnapshotPath = "/knowledge"
	// peerSnapshotTimeout bounds one request to a reader, which answers within a few milliseconds.
	peerSnapshotTimeout = 400 * time.Millisecond
	// peerSnapshotLimit bounds the size of a response. The store limits a record of the configuration to 256 KiB.
	peerSnapshotLimit = 4 << 20
)

// peerSnapshot is the state that a reader sends to a node that can't read the store itself. It's encoded under the
// names of its Go fields, without a versioned format, as all nodes of a site run the same release. The same applies to
// the types of serving and storewatch in it: renaming one of their fields changes the encoding unless the field gets a
// tag with the old name. Messages of peerlink also carry some of these types.
type peerSnapshot struct {
	// Digest states how far the reader has read; the other fields are at least as recent.
	Digest   storewatch.Digest
	Config   *serving.Configuration
	Versions []serving.AdapterVersion
	Servers  []serving.Server
	// Owners maps each partition to the peer address of its holder, as read in OwnersEra of the store.
	Owners    map[int]string
	OwnersEra serving.StoreEra
}

// peerSnapshot returns a snapshot of this node's state, if its latest read of the store is recent enough.
func (n *Node) peerSnapshot(now time.Time) (snapshot peerSnapshot, fresh bool) {
	digest, fresh := n.watch.digest(now)
	if !fresh {
		return snapshot, false
	}
	owners := n.leases.copyOwners()
	return peerSnapshot{
		Digest: digest, Config: n.forwarder.Config(), Versions: n.view.AllDeclared(), Servers: n.view.Registered(),
		Owners: owners.ByPartition, OwnersEra: owners.Era,
	}, true
}

func (n *Node) servePeerSnapshot(w http.ResponseWriter, _ *http.Request) {
	snapshot, fresh := n.peerSnapshot(time.Now())
	if !fresh {
		http.Error(w, "the store was not read lately", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(snapshot); err != nil {
		n.events.EmitError(event.PeerMessageFailed, err, nil)
	}
}

// fetchFromPeers requests a reader's snapshot whenever digests show changes that this node could not read from the
// store in time. It also reconciles the holders after entries came from peers.
func (n *Node) fetchFromPeers(ctx context.Context) error {
	client := &http.Client{Timeout: peerSnapshotTimeout, Transport: upstream.NewTransport(connectTimeout, false)}
	defer client.CloseIdleConnections()
	return n.keepUpWithPeers(ctx, func(reader string) (peerSnapshot, error) {
		return fetchPeerSnapshot(ctx, client, reader)
	})
}

// keepUpWithPeers is fetchFromPeers with a function that requests the snapshot of a reader.
func (n *Node) keepUpWithPeers(ctx context.Context, fetch func(reader string) (peerSnapshot, error)) error {
	for ctx.Err() == nil {
		delay.For(ctx, followerPollPeriod)
		if n.reconcilePending.CompareAndSwap(true, false) {
			n.holders.reconcile()
		}
		reader := n.watch.fetchSource(time.Now(), n.view.Fingerprint())
		if reader == "" || reader == n.link.Address() {
			continue
		}
		snapshot, err := fetch(reader)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.events.EmitError(event.PeerStateFetchFailed, err, event.Fields{"peer": reader})
			continue
		}
		n.applyPeerSnapshot(reader, snapshot)
	}
	return nil
}

func fetchPeerSnapshot(ctx context.Context, client *http.Client, reader string) (snapshot peerSnapshot, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader+peerSnapshotPath, nil)
	if err != nil {
		return snapshot, failure.Wrap(err, failure.Invalid, "build request for peer snapshot", reader)
	}
	answer, err := client.Do(request)
	if err != nil {
		return snapshot, failure.Wrap(err, failure.Unavailable, "request peer snapshot", reader)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		reason := fmt.Sprintf("status %d", answer.StatusCode)
		return snapshot, failure.New(failure.Unavailable, "request peer snapshot", reader, reason)
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, peerSnapshotLimit)).Decode(&snapshot); err != nil {
		return snapshot, failure.Wrap(err, failure.Invalid, "decode peer snapshot", reader)
	}
	return snapshot, nil
}

func (n *Node) applyPeerSnapshot(reader string, snapshot peerSnapshot) {
	n.events.Emit(event.PeerStateFetched, event.Fields{
		"peer": reader, "operatorNext": snapshot.Digest.OperatorNext, "serversNext": snapshot.Digest.ServersNext,
		"servers": len(snapshot.Servers),
	})
	snapshot.Digest = n.withEra(snapshot.Digest, n.eras.Current())
	n.eras.Told(reader, snapshot.Digest.Era)
	batch := serving.OperatorBatch{Versions: snapshot.Versions}
	if snapshot.Config != nil {
		batch.Configurations = append(batch.Configurations, snapshot.Config)
	}
	n.applyOperator(provenance{source: reader, position: snapshot.Digest.OperatorPosition()}, batch)
	n.applyPeerServers(reader, snapshot.Digest.ServersPosition(), snapshot.Servers)
	n.leases.setOwners(serving.Owners{Era: snapshot.OwnersEra, ByPartition: snapshot.Owners})
	n.reconcilePending.Store(true)
	n.watch.advance(snapshot.Digest)
	n.keys.applied(snapshot.Digest.OperatorPosition())
}

// peerSnapshotHandler returns the handler for requests of peers.
func (n *Node) peerSnapshotHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+peerSnapshotPath, n.servePeerSnapshot)
	return mux
}
