// Package peerlink carries short messages between the serving nodes of a site as UDP datagrams: what gateways want of
// the holder of a model server, and what the holder publishes of it. Messages may be lost or reordered; each one stands
// for itself and is repeated while it matters.
package peerlink

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

// datagramLimit is the largest datagram that is read.
const datagramLimit = 64 << 10

// UsageOf is what a gateway says of one server.
type UsageOf struct {
	ServerID string       `json:"s"`
	Wants    []wantEntry  `json:"w,omitempty"`
	Running  []countEntry `json:"r,omitempty"`
	Sent     []countEntry `json:"n,omitempty"`
}

type wantEntry struct {
	Adapter  string `json:"a"`
	Waiting  int    `json:"n"`
	Priority int    `json:"p"`
}

type countEntry struct {
	Adapter string `json:"a"`
	Count   int    `json:"n"`
}

type stateEntry struct {
	ServerID string         `json:"s"`
	Born     int64          `json:"b,omitempty"`
	Fence    int64          `json:"f"`
	Sequence uint64         `json:"q"`
	Ready    bool           `json:"ok,omitempty"`
	Full     bool           `json:"full,omitempty"`
	Adapters map[string]int `json:"a,omitempty"`
	Hot      string         `json:"h,omitempty"`
	// Kind, Revision, Base and Removed are those of serverview.Published.
	Kind     uint8    `json:"kd,omitempty"`
	Revision uint64   `json:"rv"`
	Base     uint64   `json:"bs,omitempty"`
	Removed  []string `json:"x,omitempty"`
	Waiting  int      `json:"w,omitempty"`
	Running  int      `json:"r,omitempty"`
	// BacklogMs is about how long a prompt would wait to be admitted.
	BacklogMs int64 `json:"bl,omitempty"`
}

// Message is one datagram.
type Message struct {
	// From is the sender's peer address, which is also its name as a holder.
	From string `json:"from"`
	// Nodes is the number of nodes that the sender has heard of.
	Nodes int `json:"k,omitempty"`
	// Newcomer asks the receiver to publish all that it knows, as the sender has just started.
	Newcomer bool `json:"new,omitempty"`
	// Forgotten is true when the sender has lately seen a server reset a connection that had rested.
	Forgotten bool         `json:"fg,omitempty"`
	Usage     []UsageOf    `json:"u,omitempty"`
	States    []stateEntry `json:"st,omitempty"`
	// Arrived are adapters that requests of the receiver wait for.
	Arrived []Arrival `json:"ar,omitempty"`
	// Digest is what a node that reads the store tells the others.
	Digest *storewatch.Digest `json:"d,omitempty"`
	// Present and Gone are the servers' entries that changed shortly before the digest.
	Present []serving.Server `json:"pr,omitempty"`
	Gone    []string         `json:"go,omitempty"`
	// Operator is what operators declared shortly before the digest.
	Operator *storewatch.OperatorNews `json:"op,omitempty"`
	// Ask is a gateway's wish to send a request to a server that the receiver holds.
	Ask *PromptAsk `json:"ask,omitempty"`
	// Granted and Queued answer asks by their IDs.
	Granted []uint64 `json:"g,omitempty"`
	Queued  []uint64 `json:"qd,omitempty"`
	// Read says that a prompt was read, or that its request was given up.
	Read *PromptRead `json:"rd,omitempty"`
}

// PromptAsk is a gateway's wish to send a request to a server.
type PromptAsk struct {
	ServerID string `json:"s"`
	ID       uint64 `json:"i"`
	Tokens   int    `json:"t"`
	Priority int    `json:"p,omitempty"`
}

// PromptRead ends an ask.
type PromptRead struct {
	ServerID string `json:"s"`
	ID       uint64 `json:"i"`
}

// NewUsage returns the entry for one server.
func NewUsage(serverID string, usage residency.Usage) UsageOf {
	entry := UsageOf{ServerID: serverID, Running: counts(usage.Running), Sent: counts(usage.Sent)}
	for adapter, want := range usage.Wants {
		entry.Wants = append(entry.Wants, wantEntry{Adapter: adapter.String(), Waiting: want.Waiting, Priority: want.Priority})
	}
	return entry
}

// Decode returns what the entry says, as said by node.
func (u UsageOf) Decode(node string) residency.Usage {
	usage := residency.Usage{
		Node: node, Wants: make(map[serving.Adapter]residency.Want), Running: countsOf(u.Running), Sent: countsOf(u.Sent),
	}
	for _, want := range u.Wants {
		usage.Wants[serving.ParseAdapter(want.Adapter)] = residency.Want{Waiting: want.Waiting, Priority: want.Priority}
	}
	return usage
}

func counts(byAdapter map[serving.Adapter]int) []countEntry {
	entries := make([]countEntry, 0, len(byAdapter))
	for adapter, count := range byAdapter {
		entries = append(entries, countEntry{Adapter: adapter.String(), Count: count})
	}
	return entries
}

func countsOf(entries []countEntry) map[serving.Adapter]int {
	byAdapter := make(map[serving.Adapter]int, len(entries))
	for _, entry := range entries {
		byAdapter[serving.ParseAdapter(entry.Adapter)] = entry.Count
	}
	return byAdapter
}

// AddState makes the message carry one more published state.
func (m *Message) AddState(state serverview.Published) {
	entry := stateEntry{
		ServerID: state.ServerID, Born: state.Born, Fence: state.Fence, Sequence: state.Sequence, Ready: state.Ready,
		Full: state.Full, Adapters: names(state.Adapters), Hot: state.Hot.String(), Kind: uint8(state.Kind), Revision: state.Revision, Base: state.Base,
		Waiting: state.Waiting, Running: state.Running, BacklogMs: state.Backlog.Milliseconds(),
	}
	for _, adapter := range state.Removed {
		entry.Removed = append(entry.Removed, adapter.String())
	}
	m.States = append(m.States, entry)
}

// Published returns the states that the message carries.
func (m *Message) Published() []serverview.Published {
	states := make([]serverview.Published, 0, len(m.States))
	for _, s := range m.States {
		state := serverview.Published{
			Kind: serverview.PublicationKind(s.Kind), Revision: s.Revision, Base: s.Base,
			ServerID: s.ServerID, Born: s.Born, Holder: m.From, Fence: s.Fence, Sequence: s.Sequence, Ready: s.Ready,
			Full: s.Full, Adapters: adapters(s.Adapters), Hot: serving.ParseAdapter(s.Hot), Waiting: s.Waiting, Running: s.Running,
			Backlog: time.Duration(s.BacklogMs) * time.Millisecond,
		}
		for _, name := range s.Removed {
			state.Removed = append(state.Removed, serving.ParseAdapter(name))
		}
		states = append(states, state)
	}
	return states
}

// Arrival is an adapter that a server now holds.
type Arrival struct {
	ServerID string `json:"s"`
	Adapter  string `json:"a"`
	Version  int    `json:"v"`
}

// AdapterVersion returns the adapter and its version.
func (a Arrival) AdapterVersion() serving.AdapterVersion {
	return serving.AdapterVersion{Adapter: serving.ParseAdapter(a.Adapter), Version: a.Version}
}

func names(versions map[serving.Adapter]int) map[string]int {
	byName := make(map[string]int, len(versions))
	for adapter, version := range versions {
		byName[adapter.String()] = version
	}
	return byName
}

func adapters(byName map[string]int) map[serving.Adapter]int {
	versions := make(map[serving.Adapter]int, len(byName))
	for name, version := range byName {
		versions[serving.ParseAdapter(name)] = version
	}
	return versions
}

// Link sends and receives datagrams.
type Link struct {
	conn    *net.UDPConn
	address string
	events  *event.Log
}

// Listen opens the link on address, ip:port, which is also the name by which peers know this node.
func Listen(address string, events *event.Log) (*Link, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "resolve peer address", address)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "listen for peers", address)
	}
	return &Link{conn: conn, address: address, events: events}, nil
}

// Address returns the name by which peers know this node.
func (l *Link) Address() string { return l.address }

// Send sends a message to peers. A failure is logged; the message is repeated while it matters.
func (l *Link) Send(message Message, peers ...string) {
	message.From = l.address
	data, err := json.Marshal(message)
	if err != nil {
		l.events.EmitError(event.PeerMessageFailed, err, nil)
		return
	}
	for _, peer := range peers {
		l.write(data, peer)
	}
}

func (l *Link) write(data []byte, peer string) {
	to, err := net.ResolveUDPAddr("udp4", peer)
	if err == nil {
		_, err = l.conn.WriteToUDP(data, to)
	}
	if err != nil {
		l.events.EmitError(event.PeerMessageFailed, failure.Wrap(err, failure.Unavailable, "send to peer", peer), nil)
	}
}

// Run hands each message to take until ctx ends. Datagrams that don't decode are logged and dropped.
func (l *Link) Run(ctx context.Context, take func(now time.Time, message Message)) error {
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	buffer := make([]byte, datagramLimit)
	for {
		n, from, err := l.conn.ReadFromUDP(buffer)
		switch {
		case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			l.events.EmitError(event.PeerMessageFailed, err, nil)
			continue
		}
		var message Message
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			l.events.EmitError(event.PeerMessageFailed, failure.Wrap(err, failure.Invalid, "decode message", from.String()), nil)
			continue
		}
		take(time.Now(), message)
	}
}
