package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/rendezvous"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// confirmPeriod is the time between two checks whether servers that closed connections have ended.
	confirmPeriod = 50 * time.Millisecond
	// blockPeriod is the time between two messages in which a reader lists the blocked parts, for nodes that start or have
	// missed one.
	blockPeriod = time.Second
	// crashMessageCopies is how often each message is sent, crashCopyInterval apart, as datagrams may be lost.
	crashMessageCopies = 3
	crashCopyInterval  = 80 * time.Millisecond
	// dialTimeout bounds the connection that is tried to a server that closed one, maximumDials how many are tried at once.
	dialTimeout  = 200 * time.Millisecond
	maximumDials = 32
	// crashEntriesPerMessage keeps messages below the limit of a datagram, 64 KB.
	crashEntriesPerMessage = 4
	// endReportsPerSecond bounds the reports that a node sends when many servers end at once, relaysPerSecond the messages that
	// a reader passes on to all nodes.
	endReportsPerSecond = 20
	relaysPerSecond     = 30
)

// crashes exchanges with other nodes which servers ended under which requests. It implements forward.CrashGuard.
type crashes struct {
	node *Node
	mu   sync.Mutex
	// guard holds the state of the parts.
	guard *crashguard.Guard
	// pending mirrors guard.Pending, so that streams needn't lock for each event, and watches guard.WatchesRequests.
	pending, watches atomic.Bool
	// dialed holds the servers to which a connection is tried because they closed one.
	dialed map[crashguard.Incarnation]bool
	// wake receives a value when a connection was closed without an answer.
	wake chan struct{}
	// reports and relays bound the messages that go to all nodes.
	reports, relays *rate.Limiter

	ends, blocks, refused, unsent metrics.Counter
}

func newCrashes(node *Node) *crashes {
	return &crashes{
		node: node, guard: crashguard.New(), wake: make(chan struct{}, 1), dialed: make(map[crashguard.Incarnation]bool),
		reports: rate.NewLimiter(endReportsPerSecond, endReportsPerSecond),
		relays:  rate.NewLimiter(relaysPerSecond, relaysPerSecond),
		ends:    metrics.GetOrRegisterCounter("crashguard.ends", nil),
		blocks:  metrics.GetOrRegisterCounter("crashguard.blocks", nil),
		refused: metrics.GetOrRegisterCounter("crashguard.refused", nil),
		unsent:  metrics.GetOrRegisterCounter("crashguard.unsentReports", nil),
	}
}

// update applies a change to the guard and logs what follows from it. It returns the parts that this node decided to block.
func (c *crashes) update(apply func(now time.Time)) (decided []string) {
	now := time.Now()
	c.mu.Lock()
	apply(now)
	c.pending.Store(c.guard.Pending())
	c.watches.Store(c.guard.WatchesRequests(now))
	changes := c.guard.Changes()
	breaks, parts := c.guard.Lost()
	c.mu.Unlock()
	for _, change := range changes {
		c.log(now, change)
		if change.Decided {
			decided = append(decided, change.Part)
		}
	}
	if breaks+parts > 0 {
		c.node.events.Emit(event.SuspicionsLost, event.Fields{"closedConnections": breaks, "parts": parts})
	}
	return decided
}

func (c *crashes) log(now time.Time, change crashguard.Change) {
	fields := event.Fields{"part": change.Part, "sinceMs": now.Sub(change.Since).Milliseconds()}
	if !change.Blocked {
		fields["reason"] = change.Reason
		c.node.events.Emit(event.PartUnblocked, fields)
		return
	}
	c.blocks.Inc(1)
	servers := make([]string, 0, len(change.Ends))
	for _, end := range change.Ends {
		servers = append(servers, end.ServerID)
	}
	fields["servers"] = servers
	c.node.events.Emit(event.PartBlocked, fields)
}

// Broken implements forward.CrashGuard.
func (c *crashes) Broken(b crashguard.Break) {
	begins := false
	c.update(func(time.Time) {
		c.guard.Broken(b)
		if begins = !c.dialed[b.Server] && len(c.dialed) < maximumDials; begins {
			c.dialed[b.Server] = true
		}
	})
	notify(c.wake)
	if begins {
		go c.dial(b)
	}
}

// dial tries a connection to a server that closed one: if nobody listens there, it has ended.
func (c *crashes) dial(b crashguard.Break) {
	ctx, cancel := context.WithTimeout(c.node.ctx, dialTimeout)
	defer cancel()
	err := c.node.connections.Accepts(ctx, b.Address)
	c.update(func(time.Time) {
		delete(c.dialed, b.Server)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			c.guard.Dialed(b.Server, err == nil)
		}
	})
	notify(c.wake)
}

// registered records the entry of a server, which may be that of a new incarnation.
func (c *crashes) registered(server serving.Server) {
	c.update(func(now time.Time) {
		c.guard.Registered(now, crashguard.Incarnation{ServerID: server.ID, Born: server.Born}, server.Address)
	})
	if c.pending.Load() {
		notify(c.wake)
	}
}

// WatchesRequests implements forward.CrashGuard.
func (c *crashes) WatchesRequests() bool { return c.watches.Load() }

// BytesReceived implements forward.CrashGuard.
func (c *crashes) BytesReceived(now time.Time, server crashguard.Incarnation) {
	if c.pending.Load() {
		c.update(func(time.Time) { c.guard.BytesReceived(now, server) })
	}
}

// Answered implements forward.CrashGuard.
func (c *crashes) Answered(parts []string) {
	if len(parts) == 0 {
		return
	}
	var acquitted []crashguard.Acquittal
	c.update(func(now time.Time) { acquitted = c.guard.Answered(now, parts) })
	c.sendAcquitted(acquitted)
}

// Suspected implements forward.CrashGuard.
func (c *crashes) Suspected(parts []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Suspected(parts)
}

// Check implements forward.CrashGuard.
func (c *crashes) Check(request string, parts []string) (decision crashguard.Decision) {
	decision.Allowed = true
	if len(parts) == 0 {
		return decision
	}
	c.update(func(now time.Time) { decision = c.guard.Check(now, parts, c.rank) })
	if decision.Trial {
		c.node.events.Emit(event.PartTried, event.Fields{"part": decision.Part, "request": request})
		c.announce(decision.Part)
	}
	if !decision.Allowed {
		c.refused.Inc(1)
	}
	return decision
}

// rank returns this node's position among the holders of leases, which may try a blocked part one after the other; negative
// for other nodes.
func (c *crashes) rank(part string) int {
	var holders []string
	for _, owner := range c.node.leases.copyOwners().ByPartition {
		if !slices.Contains(holders, owner) {
			holders = append(holders, owner)
		}
	}
	ordered := rendezvous.Order(holders, func(holder string) string { return holder + "\x00" + part })
	return slices.Index(ordered, c.node.link.Address())
}

// run confirms the ends of servers and reports them until ctx ends. A reader also repeats which parts are blocked.
func (c *crashes) run(ctx context.Context) error {
	var listedAt time.Time
	for ctx.Err() == nil {
		period := blockPeriod
		if c.pending.Load() {
			period = confirmPeriod
		}
		if delay.Until(ctx, period, c.wake); ctx.Err() != nil {
			return nil
		}
		c.confirm()
		if now := time.Now(); now.Sub(listedAt) >= blockPeriod {
			listedAt = now
			c.listBlocks(now)
		}
	}
	return nil
}

func (c *crashes) confirm() {
	var reports []crashguard.Report
	decided := c.update(func(now time.Time) { reports = c.guard.Confirm(now) })
	var sent []crashguard.Report
	for _, report := range reports {
		c.logEnd(report)
		if c.reports.Allow() {
			sent = append(sent, report)
		} else {
			c.unsent.Inc(1)
		}
	}
	for chunk := range slices.Chunk(sent, crashEntriesPerMessage) {
		c.send(func(now time.Time) (message peerlink.Message) {
			for _, report := range chunk {
				message.ServerEnds = append(message.ServerEnds, peerlink.NewServerEnd(now, report))
			}
			return message
		})
	}
	c.announce(decided...)
}

// announce sends the blocks of parts to all nodes. Nodes decide about blocks by themselves, and may differ in what they know.
func (c *crashes) announce(parts ...string) {
	for _, part := range parts {
		c.send(func(now time.Time) (message peerlink.Message) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if block, blocked := c.guard.Block(part); blocked {
				message.BlockedParts = append(message.BlockedParts, peerlink.NewBlockedPart(now, block))
			}
			return message
		})
	}
}

func (c *crashes) logEnd(report crashguard.Report) {
	c.ends.Inc(1)
	counts := make(map[string]int, len(report.Suspects))
	for _, suspect := range report.Suspects {
		counts[suspect.Part] = suspect.Ends
	}
	c.node.events.Emit(event.ServerEndSuspected, event.Fields{
		"server": report.Server.ServerID, "born": report.Server.Born, "endsByPart": counts,
		"endedMs": time.Since(report.EndedAt).Milliseconds(),
	})
}

// listBlocks sends the blocked parts to all nodes, see sendBlocks. Blocks that have lapsed end here on every node.
func (c *crashes) listBlocks(now time.Time) {
	c.sendBlocks(now, c.node.peers.alive(now)...)
}

// sendBlocks sends the blocked parts to peers if this node is a reader.
func (c *crashes) sendBlocks(now time.Time, peers ...string) {
	var blocks []crashguard.Block
	c.update(func(time.Time) { blocks = c.guard.Blocks(now) })
	if !c.node.leases.isReader() {
		return
	}
	for chunk := range slices.Chunk(blocks, crashEntriesPerMessage) {
		message := peerlink.Message{Relayed: true}
		for _, block := range chunk {
			message.BlockedParts = append(message.BlockedParts, peerlink.NewBlockedPart(now, block))
		}
		c.node.link.Send(message, peers...)
	}
}

func (c *crashes) sendAcquitted(acquitted []crashguard.Acquittal) {
	for chunk := range slices.Chunk(acquitted, crashEntriesPerMessage) {
		c.send(func(now time.Time) (message peerlink.Message) {
			for _, acquittal := range chunk {
				message.AcquittedParts = append(message.AcquittedParts, peerlink.NewAcquittedPart(now, acquittal))
			}
			return message
		})
	}
}

// send sends a message to all known nodes and to the readers, which pass it on to all others. It sends several copies,
// which build encodes anew as they carry relative times; only the first one is passed on.
func (c *crashes) send(build func(now time.Time) peerlink.Message) {
	peers := c.node.peers.alive(time.Now())
	for _, reader := range c.node.leases.readers() {
		if reader != c.node.link.Address() && !slices.Contains(peers, reader) {
			peers = append(peers, reader)
		}
	}
	message := build(time.Now())
	message.Relayed = c.node.leases.isReader()
	c.node.link.Send(message, peers...)
	for copied := 1; copied < crashMessageCopies; copied++ {
		time.AfterFunc(time.Duration(copied)*crashCopyInterval, func() {
			if c.node.ctx.Err() == nil {
				message := build(time.Now())
				message.Relayed = true
				c.node.link.Send(message, peers...)
			}
		})
	}
}

// handleMessage applies what a peer's message says about servers that ended and about parts.
func (c *crashes) handleMessage(now time.Time, message peerlink.Message) {
	if len(message.ServerEnds)+len(message.BlockedParts)+len(message.AcquittedParts) == 0 {
		return
	}
	var acquitted []crashguard.Acquittal
	decided := c.update(func(time.Time) {
		for _, end := range message.ServerEnds {
			acquitted = append(acquitted, c.guard.Ended(now, end.Decode(now))...)
		}
		for _, block := range message.BlockedParts {
			if acquittal, answered := c.guard.Merge(now, block.Decode(now)); answered {
				acquitted = append(acquitted, acquittal)
			}
		}
		for _, part := range message.AcquittedParts {
			c.guard.Acquitted(now, part.Decode(now), crashguard.ReasonAnswered)
		}
	})
	c.sendAcquitted(acquitted)
	if !c.node.leases.isReader() {
		return
	}
	c.announce(decided...)
	if message.Relayed {
		return
	}
	if c.relays.Allow() {
		c.relay(now, message)
	} else {
		c.unsent.Inc(1)
	}
}

// relay passes a message on to all other nodes. The times in it are so short that the delay doesn't matter.
func (c *crashes) relay(now time.Time, message peerlink.Message) {
	others := slices.DeleteFunc(c.node.peers.alive(now), func(peer string) bool { return peer == message.From })
	c.node.link.Send(peerlink.Message{
		ServerEnds: message.ServerEnds, BlockedParts: message.BlockedParts, AcquittedParts: message.AcquittedParts,
		Relayed: true,
	}, others...)
}

// Paths of the administration of blocked parts.
const (
	blockedPartsPath = "/blocked-parts"
	blockedPartPath  = blockedPartsPath + "/{part}"
)

// handle adds the handlers that list the blocked parts and lift a block.
func (c *crashes) handle(mux *http.ServeMux) {
	mux.HandleFunc("GET "+blockedPartsPath, c.serveBlocks)
	mux.HandleFunc("DELETE "+blockedPartPath, c.serveLift)
}

func (c *crashes) serveBlocks(w http.ResponseWriter, _ *http.Request) {
	blocked := []peerlink.BlockedPart{}
	c.update(func(now time.Time) {
		for _, block := range c.guard.Blocks(now) {
			blocked = append(blocked, peerlink.NewBlockedPart(now, block))
		}
	})
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(blocked); err != nil {
		c.node.events.EmitError(event.PeerMessageFailed, err, nil)
	}
}

func (c *crashes) serveLift(w http.ResponseWriter, r *http.Request) {
	acquittal := crashguard.Acquittal{Part: r.PathValue("part"), At: time.Now()}
	blocked := false
	c.update(func(now time.Time) {
		if _, blocked = c.guard.Block(acquittal.Part); blocked {
			c.guard.Acquitted(now, acquittal, crashguard.ReasonLifted)
		}
	})
	if !blocked {
		http.Error(w, "the part isn't blocked", http.StatusNotFound)
		return
	}
	c.sendAcquitted([]crashguard.Acquittal{acquittal})
	w.WriteHeader(http.StatusNoContent)
}
