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
)

const (
	// knowledgePath is served over TCP on the address that peers know a node by.
	knowledgePath = "/knowledge"
	// knowledgeTimeout bounds one question to a reader, which is a few milliseconds away.
	knowledgeTimeout = 400 * time.Millisecond
	// knowledgeLimit bounds an answer; the store bounds a record of the configuration to 256 KiB.
	knowledgeLimit = 4 << 20
)

// knowledge is what a node that reads the store tells one that the store doesn't serve. Nodes of one site run the same
// release, so that its encoding is that of the types.
type knowledge struct {
	// Digest says how far the reader has read; the rest is at least as new.
	Digest   storewatch.Digest
	Config   *serving.Configuration
	Versions []serving.AdapterVersion
	Servers  []serving.Server
	// Owners maps each partition to the peer address of its holder.
	Owners map[int]string
}

// knowledge returns what the node knows, if it has read the store lately.
func (n *Node) knowledge(now time.Time) (k knowledge, fresh bool) {
	digest, fresh := n.watch.digest(now)
	if !fresh {
		return k, false
	}
	return knowledge{
		Digest: digest, Config: n.forwarder.Config(), Versions: n.view.AllDeclared(), Servers: n.view.Entries(now),
		Owners: n.leases.knownOwners(),
	}, true
}

func (n *Node) answerKnowledge(w http.ResponseWriter, _ *http.Request) {
	known, fresh := n.knowledge(time.Now())
	if !fresh {
		http.Error(w, "the store was not read lately", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(known); err != nil {
		n.events.EmitError(event.PeerMessageFailed, err, nil)
	}
}

// learnFromPeers asks a reader for what the store doesn't tell this node.
func (n *Node) learnFromPeers(ctx context.Context) error {
	client := &http.Client{Timeout: knowledgeTimeout}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		delay.For(ctx, followPeriod)
		if n.entriesChanged.CompareAndSwap(true, false) {
			n.holders.reconcile()
		}
		reader := n.watch.learnFrom(time.Now(), n.view.Fingerprint())
		if reader == "" || reader == n.link.Address() {
			continue
		}
		known, err := askKnowledge(ctx, client, reader)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			n.events.EmitError(event.PeerKnowledgeFailed, err, event.Fields{"peer": reader})
			continue
		}
		n.takeKnowledge(reader, known)
	}
	return nil
}

func askKnowledge(ctx context.Context, client *http.Client, reader string) (known knowledge, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader+knowledgePath, nil)
	if err != nil {
		return known, failure.Wrap(err, failure.Invalid, "build question to a peer", reader)
	}
	answer, err := client.Do(request)
	if err != nil {
		return known, failure.Wrap(err, failure.Unavailable, "ask a peer for its knowledge", reader)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return known, failure.New(failure.Unavailable, "ask a peer for its knowledge", reader, fmt.Sprintf("status %d", answer.StatusCode))
	}
	if err := json.NewDecoder(io.LimitReader(answer.Body, knowledgeLimit)).Decode(&known); err != nil {
		return known, failure.Wrap(err, failure.Invalid, "decode a peer's knowledge", reader)
	}
	return known, nil
}

func (n *Node) takeKnowledge(reader string, known knowledge) {
	n.events.Emit(event.PeerKnowledgeTaken, event.Fields{
		"peer": reader, "operatorNext": known.Digest.OperatorNext, "serversNext": known.Digest.ServersNext,
		"servers": len(known.Servers),
	})
	batch := serving.OperatorBatch{Versions: known.Versions}
	if known.Config != nil {
		batch.Configurations = append(batch.Configurations, known.Config)
	}
	n.takeOperator(batch)
	n.takePeerServers(known.Digest.ServersNext, known.Servers)
	n.leases.learnOwners(known.Owners)
	n.entriesChanged.Store(true)
	n.watch.learned(known.Digest)
}

// knowledgeHandler answers the questions of peers.
func (n *Node) knowledgeHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+knowledgePath, n.answerKnowledge)
	return mux
}
