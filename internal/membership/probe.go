package membership

import (
	"cmp"
	"net"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

type exchangeKind uint8

const (
	// plainExchange only passes gossip on.
	plainExchange exchangeKind = iota + 1
	directProbe
	// indirectProbe asks another node to probe the target.
	indirectProbe
	// helpedProbe probes a node on behalf of another.
	helpedProbe
	fullPull
)

// exchange is a request of this node that has no answer yet.
type exchange struct {
	kind exchangeKind
	// name is the node that is probed.
	name string
	// incarnation is the one that was probed; a newer one isn't suspected for it.
	incarnation uint64
	address     string
	deadline    time.Time
	// probe is shared by the indirect probes of one target.
	probe *indirect
	// token is the exchange of the node that asked for a helped probe.
	token uint64
}

// indirect counts the answers of the helpers of one probe.
type indirect struct {
	left  int
	alive bool
}

func (c *core) send(now time.Time, e *exchange, address string, request *peerpb.ExchangeRequest, timeout time.Duration) {
	if request == nil {
		request = &peerpb.ExchangeRequest{}
	}
	request.From, request.FromAddress = c.self.Name, c.self.Scheduler
	if request.Updates == nil {
		request.Updates = c.piggyback()
	}
	request.Digest = c.digest()
	c.nextID++
	e.address = address
	e.deadline = now.Add(timeout)
	c.exchanges[c.nextID] = e
	c.do(sendAction{id: c.nextID, address: address, request: request, timeout: timeout})
}

// probeNext probes the next node of the round.
func (c *core) probeNext(now time.Time) {
	for range 2 {
		for len(c.round) > 0 {
			name := c.round[0]
			c.round = c.round[1:]
			if m := c.members[name]; m != nil && present(m.entry) {
				e := &exchange{kind: directProbe, name: name, incarnation: m.entry.Incarnation}
				c.send(now, e, m.entry.Scheduler, c.withTarget(m.entry), probeTimeout)
				return
			}
		}
		c.round = c.peers()
		c.random.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
}

// withTarget returns a request that tells a suspected node of the suspicion, so that it can refute at once.
func (c *core) withTarget(target *peerpb.NodeEntry) *peerpb.ExchangeRequest {
	updates := c.piggyback()
	told := slices.ContainsFunc(updates, func(e *peerpb.NodeEntry) bool { return e.Name == target.Name })
	if target.State == peerpb.NodeState_SUSPECT && !told {
		updates = append(updates, target)
	}
	return &peerpb.ExchangeRequest{Updates: updates}
}

// probeIndirectly asks others to probe a node that didn't answer.
func (c *core) probeIndirectly(now time.Time, e *exchange) {
	helpers := slices.DeleteFunc(c.peers(), func(name string) bool { return name == e.name })
	c.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(len(helpers), indirectProbes)]
	if len(helpers) == 0 {
		c.suspect(now, e)
		return
	}
	probe := &indirect{left: len(helpers)}
	for _, helper := range helpers {
		request := &peerpb.ExchangeRequest{ProbeTarget: e.name, ProbeAddress: e.address}
		asked := &exchange{kind: indirectProbe, name: e.name, incarnation: e.incarnation, probe: probe}
		c.send(now, asked, c.members[helper].entry.Scheduler, request, indirectTimeout)
	}
}

// suspect marks a node that neither this node nor the helpers could reach.
func (c *core) suspect(now time.Time, e *exchange) {
	m := c.members[e.name]
	if m == nil || m.entry.Incarnation != e.incarnation || severity(m.entry.State) >= severity(peerpb.NodeState_SUSPECT) {
		return
	}
	c.set(now, withState(m.entry, peerpb.NodeState_SUSPECT))
}

// receive takes another node's exchange. A respondAction with the token follows, at once or after a helped probe.
func (c *core) receive(now time.Time, token uint64, request *peerpb.ExchangeRequest) {
	for _, e := range request.Updates {
		c.learn(now, e)
	}
	switch request.ProbeTarget {
	case "":
		c.respond(token, false, c.answerTo(request))
	case fullExchange:
		c.respond(token, false, c.whole())
	default:
		e := &exchange{kind: helpedProbe, name: request.ProbeTarget, token: token}
		c.send(now, e, request.ProbeAddress, nil, probeTimeout)
	}
}

func (c *core) respond(token uint64, alive bool, updates []*peerpb.NodeEntry) {
	response := &peerpb.ExchangeResponse{From: c.self.Name, Updates: updates, TargetAlive: alive, Digest: c.digest()}
	c.do(respondAction{token: token, response: response})
}

// answerTo returns the changes for an answer. A sender that is taken for suspect or dead is told so.
func (c *core) answerTo(request *peerpb.ExchangeRequest) []*peerpb.NodeEntry {
	updates := c.piggyback()
	m := c.members[request.From]
	if m == nil || severity(m.entry.State) < severity(peerpb.NodeState_SUSPECT) {
		return updates
	}
	if slices.ContainsFunc(updates, func(e *peerpb.NodeEntry) bool { return e.Name == request.From }) {
		return updates
	}
	return append(updates, m.entry)
}

// replied takes the end of an exchange: the answer, or nil when there was none.
func (c *core) replied(now time.Time, id uint64, response *peerpb.ExchangeResponse) {
	e := c.exchanges[id]
	if e == nil {
		return
	}
	delete(c.exchanges, id)
	if response == nil {
		c.failed(now, e)
		return
	}
	theirs := response.Updates
	joining := e.kind == fullPull && len(c.peers()) == 0
	for _, update := range theirs {
		c.learn(now, update)
	}
	if joining {
		// Everybody else knows what a new node has just been told, so only its own entry is passed on.
		c.gossip = gossip{}
		c.gossip.add(c.self.Name, false)
	}
	if e.kind == directProbe || e.kind == plainExchange {
		c.repair(now, e.address, response.Digest)
	}
	switch e.kind {
	case directProbe:
		// The address may belong to a new VM by now; its answer says nothing about the probed node.
		if response.From != e.name {
			c.probeIndirectly(now, e)
		}
	case indirectProbe:
		c.helped(now, e, response.TargetAlive)
	case helpedProbe:
		c.respond(e.token, response.From == e.name, c.piggyback())
	case fullPull:
		if missing := c.difference(theirs); len(missing) > 0 {
			push := &peerpb.ExchangeRequest{Updates: missing}
			c.send(now, &exchange{kind: plainExchange}, e.address, push, indirectTimeout)
		}
	}
}

func (c *core) failed(now time.Time, e *exchange) {
	switch e.kind {
	case directProbe:
		c.probeIndirectly(now, e)
	case indirectProbe:
		c.helped(now, e, false)
	case helpedProbe:
		c.respond(e.token, false, c.piggyback())
	}
}

// helped counts a helper's answer and suspects the target when all have failed.
func (c *core) helped(now time.Time, e *exchange, alive bool) {
	e.probe.left--
	e.probe.alive = e.probe.alive || alive
	if e.probe.left == 0 && !e.probe.alive {
		c.suspect(now, e)
	}
}

// expireExchanges fails the exchanges that have reached their deadline.
func (c *core) expireExchanges(now time.Time) {
	var due []uint64
	for id, e := range c.exchanges {
		if !now.Before(e.deadline) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, cmp.Compare[uint64])
	for _, id := range due {
		c.replied(now, id, nil)
	}
}

// exchangeFully compares the whole table with one other node. Every second time it's one that is not taken for
// running, if there is any: after a partition nobody else would contact it.
func (c *core) exchangeFully(now time.Time) {
	lost := c.lostAddresses()
	peers := c.peers()
	address := ""
	switch {
	case len(lost) > 0 && (len(peers) == 0 || c.random.IntN(2) == 0):
		address = lost[c.random.IntN(len(lost))]
	case len(peers) > 0:
		address = c.members[peers[c.random.IntN(len(peers))]].entry.Scheduler
	default:
		return
	}
	c.pull(now, address)
}

// pull asks for a node's whole table. What that node lacks is sent to it afterwards.
func (c *core) pull(now time.Time, address string) {
	request := &peerpb.ExchangeRequest{ProbeTarget: fullExchange, Updates: []*peerpb.NodeEntry{c.self}}
	c.send(now, &exchange{kind: fullPull}, address, request, indirectTimeout)
}

// lostAddresses returns the addresses of dead nodes, seeds and listed VMs that belong to no running node.
func (c *core) lostAddresses() []string {
	var out []string
	running := map[string]bool{c.self.Scheduler: true}
	for _, name := range c.sortedMembers() {
		e := c.members[name].entry
		if present(e) {
			running[e.Scheduler] = true
		} else {
			out = append(out, e.Scheduler)
		}
	}
	out = append(out, c.seeds...)
	for _, vm := range c.vms {
		out = append(out, c.schedulerAt(vm.Address))
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(address string) bool { return running[address] || address == "" })
}

// schedulerAt adds this scheduler's port to the address of a VM that has none: all entry VMs use the same ports.
func (c *core) schedulerAt(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address
	}
	_, port, err := net.SplitHostPort(c.self.Scheduler)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(address, port)
}
