package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

const (
	// originBatchPeriod is the time during which new origins are collected into one message to each keeper.
	originBatchPeriod = 20 * time.Millisecond
	// originsPerMessage limits datagrams to a few kilobytes.
	originsPerMessage = 40
	// originQueryTimeout bounds a query; other nodes answer within a few milliseconds.
	originQueryTimeout = 150 * time.Millisecond
	// originConfirmTimeout is originQueryTimeout when this node knows only one version itself. Others then only confirm
	// that, and a node that has just stopped must not delay the stream.
	originConfirmTimeout = 50 * time.Millisecond
	// originResendInterval is the time between two messages of one query.
	originResendInterval = 20 * time.Millisecond
)

// origins exchanges the origins of streams with other nodes. It implements forward.Origins.
type origins struct {
	node *Node
	mu   sync.Mutex
	// registry holds the origins of this node's streams and of those that it keeps for others.
	registry *streamorigin.Registry
	// unsent holds the origins that have not been sent to their keepers yet.
	unsent  []streamorigin.Origin
	queries *pending[originReply]
	// log keeps origins in the store.
	log *originLog
	// entries reads the servers' entries for resumes whose version has to be confirmed.
	entries *sharedRead
	// recorded receives a value when an origin was added to unsent.
	recorded chan struct{}
}

// originReply is the answer of one node to a query.
type originReply struct {
	from   string
	answer streamorigin.Answer
}

func newOrigins(node *Node) *origins {
	return &origins{
		node: node, registry: streamorigin.NewRegistry(), queries: newPending[originReply](), log: newOriginLog(node),
		recorded: make(chan struct{}, 1), entries: newSharedRead(entriesReadInterval, node.readEntries),
	}
}

// Record implements forward.Origins.
func (o *origins) Record(origin streamorigin.Origin) {
	o.mu.Lock()
	recorded := o.registry.Record(time.Now(), origin)
	if recorded {
		o.unsent = append(o.unsent, origin)
	}
	o.mu.Unlock()
	if recorded {
		notify(o.recorded)
	}
}

// send sends new origins to their keepers until ctx ends.
func (o *origins) send(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-o.recorded:
		}
		delay.For(ctx, originBatchPeriod)
		o.mu.Lock()
		unsent := o.unsent
		o.unsent = nil
		o.mu.Unlock()
		o.sendToKeepers(time.Now(), unsent)
	}
	return nil
}

func (o *origins) sendToKeepers(now time.Time, unsent []streamorigin.Origin) {
	holders, _ := o.nodes(now)
	byKeeper := make(map[string][]peerlink.OriginRecord)
	for _, origin := range unsent {
		keepers := streamorigin.Keepers(origin.Request, o.node.settings.Node.Zone, holders)
		writer := o.writer(origin.Request)
		if writer == o.node.link.Address() {
			o.log.add(now, origin)
		} else if !slices.Contains(keepers, writer) {
			keepers = append(keepers, writer)
		}
		for _, keeper := range keepers {
			byKeeper[keeper] = append(byKeeper[keeper], peerlink.NewOriginRecord(now, origin))
		}
	}
	o.sendRecords(byKeeper)
}

// sendToWriters appends the origins that this node writes to the store, and sends the others to the nodes that do. Holders
// change, so that a node that is to write an origin need not have been one of its keepers when the stream began.
func (o *origins) sendToWriters(now time.Time, live []streamorigin.Origin) {
	byWriter := make(map[string][]peerlink.OriginRecord)
	for _, origin := range live {
		writer := o.writer(origin.Request)
		if writer == o.node.link.Address() {
			o.log.append(origin)
			continue
		}
		byWriter[writer] = append(byWriter[writer], peerlink.NewOriginRecord(now, origin))
	}
	o.sendRecords(byWriter)
}

func (o *origins) sendRecords(byReceiver map[string][]peerlink.OriginRecord) {
	for receiver, records := range byReceiver {
		for chunk := range slices.Chunk(records, originsPerMessage) {
			o.node.link.Send(peerlink.Message{Origins: chunk}, receiver)
		}
	}
}

// writer returns the address of the holder that writes the origin of a request's stream to the store. A node that knows no
// holder writes itself.
func (o *origins) writer(request string) string {
	var holders []streamorigin.Node
	addresses := make(map[string]bool)
	for _, owner := range o.node.leases.copyOwners().ByPartition {
		if !addresses[owner] {
			addresses[owner] = true
			holders = append(holders, streamorigin.Node{Address: owner})
		}
	}
	if len(holders) == 0 {
		return o.node.link.Address()
	}
	return streamorigin.Writer(request, holders)
}

// writes reports whether this node writes the origin of a request's stream to the store.
func (o *origins) writes(request string) bool {
	return o.writer(request) == o.node.link.Address()
}

// live returns the origins of a service's streams that may still be resumed.
func (o *origins) live(now time.Time, service string) []streamorigin.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.registry.Live(now, service)
}

// keep records an origin that this node keeps for others.
func (o *origins) keep(now time.Time, origin streamorigin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.registry.Record(now, origin)
}

// nodes returns the other nodes that hold leases, and all other nodes that are known to be alive. Without known holders,
// all count as holders.
func (o *origins) nodes(now time.Time) (holders, alive []streamorigin.Node) {
	alive = o.node.peers.aliveWithZones(now)
	zones := make(map[string]string, len(alive))
	for _, node := range alive {
		zones[node.Address] = node.Zone
	}
	addresses := make(map[string]bool)
	for _, owner := range o.node.leases.copyOwners().ByPartition {
		if owner != o.node.link.Address() {
			addresses[owner] = true
		}
	}
	if len(addresses) == 0 {
		return alive, alive
	}
	for address := range addresses {
		holders = append(holders, streamorigin.Node{Address: address, Zone: zones[address]})
	}
	return holders, alive
}

// Find implements forward.Origins.
func (o *origins) Find(
	ctx context.Context, request, service string, maximumAge time.Duration,
) streamorigin.Answer {
	if len(request) > streamorigin.MaximumRequestBytes {
		request = ""
	}
	now := time.Now()
	answer := o.known(now, request, service, maximumAge)
	if answer.Basis == streamorigin.Recorded {
		return answer
	}
	allAnswered := false
	if answer.Basis == streamorigin.Unknown || request != "" {
		holders, alive := o.nodes(now)
		query := peerlink.OriginQuery{Request: request, Service: service, MaximumAgeMs: maximumAge.Milliseconds()}
		answer, allAnswered = o.ask(ctx, query, streamorigin.Targets(request, holders, alive), answer)
	}
	if answer.Basis == streamorigin.OnlyVersion && (request == "" || !allAnswered) {
		answer = o.confirmOnlyVersion(ctx, answer, maximumAge)
	}
	if answer.Known() || request == "" {
		return answer
	}
	if err := o.log.reads.do(ctx); err != nil {
		return answer
	}
	// What else this node knows now isn't confirmed.
	if stored := o.known(time.Now(), request, service, maximumAge); stored.Basis == streamorigin.Recorded {
		return stored
	}
	return answer
}

// confirmOnlyVersion checks the answer that there is only one version by a read of the servers' entries. Without it the answer
// is as old as this node's view of the servers, while the stream may have begun a moment ago at a server that joined since: a
// node that is cut off from the others neither learns of that server nor finds the stream's record.
func (o *origins) confirmOnlyVersion(
	ctx context.Context, answer streamorigin.Answer, maximumAge time.Duration,
) streamorigin.Answer {
	arrivedAt := time.Now()
	if err := o.entries.do(ctx); err != nil {
		return streamorigin.Answer{}
	}
	for _, version := range o.node.view.VersionsSince(answer.Service, arrivedAt.Add(-maximumAge)) {
		if version != answer.SoftwareVersion {
			return streamorigin.Answer{Basis: streamorigin.SeveralVersions}
		}
	}
	return answer
}

// ask sends a query until it has found a record, all targets have answered, or the timeout is over. It returns the most
// reliable of the answers and this node's own, and whether there are targets and all have answered.
func (o *origins) ask(
	ctx context.Context, query peerlink.OriginQuery, targets []string, answer streamorigin.Answer,
) (best streamorigin.Answer, allAnswered bool) {
	if len(targets) == 0 {
		return answer, false
	}
	id, replies := o.queries.register(len(targets))
	defer o.queries.unregister(id)
	query.ID = id
	timeout := originQueryTimeout
	if answer.Basis == streamorigin.OnlyVersion {
		timeout = originConfirmTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resend := time.NewTicker(originResendInterval)
	defer resend.Stop()
	message := peerlink.Message{OriginQuery: &query}
	o.node.link.Send(message, targets...)
	for len(targets) > 0 && answer.Basis != streamorigin.Recorded {
		select {
		case reply := <-replies:
			answer = answer.Combine(reply.answer)
			targets = slices.DeleteFunc(targets, func(target string) bool { return target == reply.from })
		case <-resend.C:
			o.node.link.Send(message, targets...)
		case <-ctx.Done():
			return answer, false
		}
	}
	return answer, len(targets) == 0
}

// known returns what this node knows about a stream without asking others.
func (o *origins) known(now time.Time, request, service string, maximumAge time.Duration) streamorigin.Answer {
	o.mu.Lock()
	origin, found := o.registry.Find(now, request)
	o.mu.Unlock()
	if found {
		return streamorigin.Answer{
			Basis: streamorigin.Recorded, Service: origin.Service, SoftwareVersion: origin.SoftwareVersion,
		}
	}
	since := now.Add(-maximumAge)
	versions := o.node.view.VersionsSince(service, since)
	switch {
	case len(versions) > 1:
		return streamorigin.Answer{Basis: streamorigin.SeveralVersions}
	case len(versions) == 1 && o.node.sightings.areComplete(now, since):
		return streamorigin.Answer{Basis: streamorigin.OnlyVersion, Service: service, SoftwareVersion: versions[0]}
	default:
		return streamorigin.Answer{}
	}
}

// handleMessage processes what a peer's message says or asks about origins.
func (o *origins) handleMessage(now time.Time, message peerlink.Message) {
	if len(message.Origins) > 0 {
		for _, record := range message.Origins {
			origin := record.Decode(now)
			o.keep(now, origin)
			if o.writes(origin.Request) {
				o.log.add(now, origin)
			}
		}
	}
	if query := message.OriginQuery; query != nil {
		answer := o.known(now, query.Request, query.Service, time.Duration(query.MaximumAgeMs)*time.Millisecond)
		reply := peerlink.NewOriginAnswer(query.ID, answer)
		o.node.link.Send(peerlink.Message{OriginAnswer: &reply}, message.From)
	}
	if answer := message.OriginAnswer; answer != nil {
		o.queries.deliver(answer.ID, originReply{from: message.From, answer: answer.Decode()})
	}
}
