package membership

import (
	"cmp"
	"net"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// exchangeKind is the purpose of an exchange that this node sends.
type exchangeKind uint8

const (
	// plainExchange only carries gossip.
	plainExchange exchangeKind = iota + 1
	// directProbe probes a node.
	directProbe
	// indirectProbe requests another node, the helper, to probe the target.
	indirectProbe
	// relayedProbe probes a node on behalf of another.
	relayedProbe
	// fullPull requests a node's full table.
	fullPull
)

// exchange is a request of this node that hasn't been answered yet.
type exchange struct {
	kind exchangeKind
	// name is the probed node.
	name string
	// incarnation is the probed incarnation; a newer one isn't suspected when the probe fails.
	incarnation uint64
	address     string
	deadline    time.Time
	// result is shared by the indirect probes of one target.
	result *indirectResult
	// token identifies the received exchange that requested a relayed probe.
	token uint64
}

// indirectResult collects the answers of the helpers of one probe.
type indirectResult struct {
	pending int
	alive   bool
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
	c.addAction(sendAction{id: c.nextID, address: address, request: request, timeout: timeout})
}

// probeNext probes the next node of the round.
func (c *core) probeNext(now time.Time) {
	for range 2 {
		for len(c.round) > 0 {
			name := c.round[0]
			c.round = c.round[1:]
			if m := c.members[name]; m != nil && isRunning(m.entry) {
				e := &exchange{kind: directProbe, name: name, incarnation: m.entry.Incarnation}
				c.send(now, e, m.entry.Scheduler, c.probeRequest(m.entry), probeTimeout)
				return
			}
		}
		c.round = c.peers()
		c.random.Shuffle(len(c.round), func(i, j int) { c.round[i], c.round[j] = c.round[j], c.round[i] })
	}
}

// probeRequest returns a request that includes the entry of a suspected target, so that the target can refute the
// suspicion at once.
func (c *core) probeRequest(target *peerpb.NodeEntry) *peerpb.ExchangeRequest {
	updates := c.piggyback()
	included := slices.ContainsFunc(updates, func(e *peerpb.NodeEntry) bool { return e.Name == target.Name })
	if target.State == peerpb.NodeState_SUSPECT && !included {
		updates = append(updates, target)
	}
	return &peerpb.ExchangeRequest{Updates: updates}
}

// probeIndirectly requests other nodes to probe a node that didn't answer.
func (c *core) probeIndirectly(now time.Time, e *exchange) {
	helpers := slices.DeleteFunc(c.peers(), func(name string) bool { return name == e.name })
	c.random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(len(helpers), indirectProbeHelpers)]
	if len(helpers) == 0 {
		c.suspect(now, e)
		return
	}
	result := &indirectResult{pending: len(helpers)}
	for _, helper := range helpers {
		request := &peerpb.ExchangeRequest{ProbeTarget: e.name, ProbeAddress: e.address}
		relayed := &exchange{kind: indirectProbe, name: e.name, incarnation: e.incarnation, result: result}
		c.send(now, relayed, c.members[helper].entry.Scheduler, request, indirectTimeout)
	}
}

// suspect marks a node as suspected that neither this node nor the helpers could reach.
func (c *core) suspect(now time.Time, e *exchange) {
	m := c.members[e.name]
	if m == nil || m.entry.Incarnation != e.incarnation || severity(m.entry.State) >= severity(peerpb.NodeState_SUSPECT) {
		return
	}
	c.setEntry(now, withState(m.entry, peerpb.NodeState_SUSPECT))
}

// handleExchange handles another node's exchange. A respondAction with the token follows, at once or after a relayed
// probe.
func (c *core) handleExchange(now time.Time, token uint64, request *peerpb.ExchangeRequest) {
	for _, e := range request.Updates {
		c.applyUpdate(now, e)
	}
	switch request.ProbeTarget {
	case "":
		c.respond(token, false, c.responseUpdates(request))
	case fullExchange:
		c.respond(token, false, c.allEntries())
	default:
		e := &exchange{kind: relayedProbe, name: request.ProbeTarget, token: token}
		c.send(now, e, request.ProbeAddress, nil, probeTimeout)
	}
}

func (c *core) respond(token uint64, alive bool, updates []*peerpb.NodeEntry) {
	response := &peerpb.ExchangeResponse{From: c.self.Name, Updates: updates, TargetAlive: alive, Digest: c.digest()}
	c.addAction(respondAction{token: token, response: response})
}

// responseUpdates returns the changes for an answer. They include the sender's entry if the sender is suspected or
// dead, so that it can refute that.
func (c *core) responseUpdates(request *peerpb.ExchangeRequest) []*peerpb.NodeEntry {
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

// exchangeEnded handles the end of an exchange: the answer, or nil if there was none.
func (c *core) exchangeEnded(now time.Time, id uint64, response *peerpb.ExchangeResponse) {
	e := c.exchanges[id]
	if e == nil {
		return
	}
	delete(c.exchanges, id)
	if response == nil {
		c.exchangeFailed(now, e)
		return
	}
	updates := response.Updates
	joining := e.kind == fullPull && len(c.peers()) == 0
	for _, update := range updates {
		c.applyUpdate(now, update)
	}
	if joining {
		// The other nodes have the entries that a new node has just received, so it only gossips its own.
		c.gossip = gossip{}
		c.gossip.add(c.self.Name, false)
	}
	if e.kind == directProbe || e.kind == plainExchange {
		c.repair(now, e.address, response.Digest)
	}
	switch e.kind {
	case directProbe:
		// The address may have been reassigned to a new VM, whose answer doesn't show that the probed node is alive.
		if response.From != e.name {
			c.probeIndirectly(now, e)
		}
	case indirectProbe:
		c.helperReplied(now, e, response.TargetAlive)
	case relayedProbe:
		c.respond(e.token, response.From == e.name, c.piggyback())
	case fullPull:
		if missing := c.missingEntries(updates); len(missing) > 0 {
			push := &peerpb.ExchangeRequest{Updates: missing}
			c.send(now, &exchange{kind: plainExchange}, e.address, push, indirectTimeout)
		}
	}
}

func (c *core) exchangeFailed(now time.Time, e *exchange) {
	switch e.kind {
	case directProbe:
		c.probeIndirectly(now, e)
	case indirectProbe:
		c.helperReplied(now, e, false)
	case relayedProbe:
		c.respond(e.token, false, c.piggyback())
	}
}

// helperReplied records a helper's answer and suspects the target when all helpers have failed to reach it.
func (c *core) helperReplied(now time.Time, e *exchange, alive bool) {
	e.result.pending--
	e.result.alive = e.result.alive || alive
	if e.result.pending == 0 && !e.result.alive {
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
		c.exchangeEnded(now, id, nil)
	}
}

// startFullExchange compares the full table with that of one random node. If there are inactive addresses, half of the
// exchanges on average go to one of them: after a partition no other mechanism contacts them.
func (c *core) startFullExchange(now time.Time) {
	inactive := c.inactiveAddresses()
	peers := c.peers()
	address := ""
	switch {
	case len(inactive) > 0 && (len(peers) == 0 || c.random.IntN(2) == 0):
		address = inactive[c.random.IntN(len(inactive))]
	case len(peers) > 0:
		address = c.members[peers[c.random.IntN(len(peers))]].entry.Scheduler
	default:
		return
	}
	c.pullTable(now, address)
}

// pullTable requests a node's full table. The entries that are missing there are sent to it afterwards.
func (c *core) pullTable(now time.Time, address string) {
	request := &peerpb.ExchangeRequest{ProbeTarget: fullExchange, Updates: []*peerpb.NodeEntry{c.self}}
	c.send(now, &exchange{kind: fullPull}, address, request, indirectTimeout)
}

// inactiveAddresses returns the addresses of dead nodes, seeds and listed VMs that belong to no running node.
func (c *core) inactiveAddresses() []string {
	var out []string
	running := map[string]bool{c.self.Scheduler: true}
	for _, name := range c.sortedMembers() {
		e := c.members[name].entry
		if isRunning(e) {
			running[e.Scheduler] = true
		} else {
			out = append(out, e.Scheduler)
		}
	}
	out = append(out, c.seeds...)
	for _, vm := range c.vms {
		out = append(out, c.schedulerAddress(vm.Address))
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(address string) bool { return running[address] || address == "" })
}

// schedulerAddress adds this scheduler's port to the address of a VM that has none: all entry VMs use the same ports.
func (c *core) schedulerAddress(address string) string {
	if _, _, err := net.SplitHostPort(address); err == nil {
		return address
	}
	_, port, err := net.SplitHostPort(c.self.Scheduler)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(address, port)
}
