// Package peerlink sends short messages between the serving nodes of a site as UDP datagrams: the demand that a node
// reports to the lease holder of a model server, and the state of the server that the holder publishes. Messages may be
// lost or reordered, so each one is self-contained and is resent as long as its content is current.
package peerlink

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

// datagramLimit is the size of the receive buffer; UDP payloads are smaller.
const datagramLimit = 64 << 10

// ServerUsage is one node's demand for and use of a server.
type ServerUsage struct {
	ServerID string        `json:"s"`
	Demand   []demandEntry `json:"w,omitempty"`
	Running  []countEntry  `json:"r,omitempty"`
	Sent     []countEntry  `json:"n,omitempty"`
	// EventGapUs, Events and EventsBorn have the meaning of the fields of residency.Usage.
	EventGapUs int64 `json:"eg,omitempty"`
	Events     int   `json:"ec,omitempty"`
	EventsBorn int64 `json:"eb,omitempty"`
}

type demandEntry struct {
	Adapter  string `json:"a"`
	Waiting  int    `json:"n"`
	Priority int    `json:"p"`
	// PatienceMs is the longest time that one of the requests still waits.
	PatienceMs int64 `json:"t"`
}

type countEntry struct {
	Adapter string `json:"a"`
	Count   int    `json:"n"`
}

type stateEntry struct {
	ServerID string `json:"s"`
	Born     int64  `json:"b,omitempty"`
	Fence    int64  `json:"f"`
	Sequence uint64 `json:"q"`
	Ready    bool   `json:"ok,omitempty"`
	// FreeSlots, SlotWaiting, TurnoverMs and OrdersInMs are the fields of serving.SlotQueue.
	FreeSlots   int                    `json:"fs,omitempty"`
	SlotWaiting [serving.RankCount]int `json:"sw,omitzero"`
	TurnoverMs  int64                  `json:"tv,omitempty"`
	OrdersInMs  int64                  `json:"oi,omitempty"`
	Adapters    map[string]int         `json:"a,omitempty"`
	Hot         string                 `json:"h,omitempty"`
	// Kind, Revision, Base and Removed have the meaning of the fields of serverview.Published.
	Kind     uint8    `json:"kd,omitempty"`
	Revision uint64   `json:"rv"`
	Base     uint64   `json:"bs,omitempty"`
	Removed  []string `json:"x,omitempty"`
	Waiting  int      `json:"w,omitempty"`
	Running  int      `json:"r,omitempty"`
	// LoadAgeMs, Asked and Arrivals have the meaning of the fields of serverview.Published, Arrivals in tenths per second.
	LoadAgeMs int64 `json:"la,omitempty"`
	Asked     int   `json:"as,omitempty"`
	Arrivals  int   `json:"av,omitempty"`
	// StepBaseUs, StepPerRunUs and SlowPercent encode serverview.Published.Step, and the load times its LoadTimes.
	StepBaseUs   int64 `json:"tb,omitempty"`
	StepPerRunUs int64 `json:"tr,omitempty"`
	SlowPercent  int   `json:"ts,omitempty"`
	ColdLoadMs   int64 `json:"tc,omitempty"`
	WarmLoadMs   int64 `json:"tw,omitempty"`
	// BacklogMs estimates how long a new prompt would wait to be admitted.
	BacklogMs int64 `json:"bl,omitempty"`
	// Tolerance is that of a brittle server, and ToleranceAgoMs the time since it named it.
	Tolerance      *float64 `json:"to,omitempty"`
	ToleranceAgoMs int64    `json:"ta,omitempty"`
}

// Message is one datagram.
type Message struct {
	// From is the sender's peer address, which also identifies it as a lease holder.
	From string `json:"from"`
	// LinkMbps is the bandwidth of the sender's network link in Mbit/s; 0 if it isn't known.
	LinkMbps float64 `json:"lk,omitempty"`
	// Zone is the sender's availability zone.
	Zone string `json:"z,omitempty"`
	// Nodes is the number of live nodes that the sender counts, itself included.
	Nodes int `json:"k,omitempty"`
	// FullStatesRequested requests the full states of the receiver's servers, as the sender has just started.
	FullStatesRequested bool `json:"new,omitempty"`
	// IdleResetsSeen is true when the sender recently saw a server reset a connection that had been idle.
	IdleResetsSeen bool          `json:"fg,omitempty"`
	Usage          []ServerUsage `json:"u,omitempty"`
	States         []stateEntry  `json:"st,omitempty"`
	// Arrived lists newly loaded adapters that requests of the receiver wait for.
	Arrived []Arrival `json:"ar,omitempty"`
	// Digest summarizes what the sender, a reader of the store, has read.
	Digest *storewatch.Digest `json:"d,omitempty"`
	// Present holds the server entries that changed shortly before the digest.
	Present []serving.Server `json:"pr,omitempty"`
	// Removed holds the IDs of the server entries that were removed shortly before the digest.
	Removed []string `json:"go,omitempty"`
	// Gone holds the IDs of the servers that count as removed since shortly before the digest, as their entries can't reappear.
	Gone []string `json:"gn,omitempty"`
	// Leaving holds servers that say in their answers that they leave, up to a bound. With LeavingComplete these are all that
	// the sender, a reader, knows.
	Leaving         []LeavingServer `json:"lv,omitempty"`
	LeavingComplete bool            `json:"lc,omitempty"`
	// StoreEra is the newest era of the store that the sender, a reader, knows.
	StoreEra serving.StoreEra `json:"er,omitempty"`
	// Operator holds the adapter versions that operators declared shortly before the digest.
	Operator *storewatch.OperatorChanges `json:"op,omitempty"`
	// Owners says which nodes hold the leases, as the sender, a reader, has read it.
	Owners *OwnersNotice `json:"ow,omitempty"`
	// AdmissionRequest requests admission of a prompt to a server whose lease the receiver holds.
	AdmissionRequest *AdmissionRequest `json:"ask,omitempty"`
	// Granted and Queued answer admission requests by their IDs.
	Granted []uint64 `json:"g,omitempty"`
	Queued  []uint64 `json:"qd,omitempty"`
	// AdmissionRelease reports that an admitted prompt was processed or that its request was abandoned.
	AdmissionRelease *AdmissionRelease `json:"rd,omitempty"`
	// Origins are to be kept by the receiver.
	Origins []OriginRecord `json:"or,omitempty"`
	// OriginQuery asks what the receiver knows about a stream, OriginAnswer answers such a query.
	OriginQuery  *OriginQuery  `json:"oq,omitempty"`
	OriginAnswer *OriginAnswer `json:"oa,omitempty"`
	// UnreachableServers lists servers to which the sender can't open connections; it is repeated while there are any.
	UnreachableServers []string `json:"us,omitempty"`
	// Takers are nodes that reach servers which the receiver doesn't, and may take its requests.
	Takers []Taker `json:"tk,omitempty"`
	// LimitNotices say what servers named in their answers about their limits.
	LimitNotices []LimitNotice `json:"ln,omitempty"`
	// LimitRequest asks for the leave to send a request to a server with a limit, LimitReturn gives it back unused.
	LimitRequest *LimitRequest `json:"lq,omitempty"`
	LimitReturn  *LimitReturn  `json:"lr,omitempty"`
	LimitAnswers []LimitAnswer `json:"la,omitempty"`
	// Rejections are those of brittle servers that the sender has got; they aren't passed on.
	Rejections []Rejection `json:"rj,omitempty"`
	// QuotaAsks request credit of customers that the receiver coordinates, QuotaReturns give it back, QuotaAnswers answer
	// requests of the receiver.
	QuotaAsks    []QuotaAsk    `json:"ca,omitempty"`
	QuotaReturns []QuotaReturn `json:"cr,omitempty"`
	QuotaAnswers []QuotaAnswer `json:"cg,omitempty"`
	// ServerEnds, BlockedParts and AcquittedParts keep requests that crash servers away from them. Relayed is true when a
	// reader passes on what another node has sent to it.
	ServerEnds     []ServerEnd     `json:"se,omitempty"`
	BlockedParts   []BlockedPart   `json:"bp,omitempty"`
	AcquittedParts []AcquittedPart `json:"ap,omitempty"`
	Relayed        bool            `json:"rl,omitempty"`
	// Slots is about the slots of a plain service.
	Slots *SlotMessage `json:"sl,omitempty"`
	// KeyChallenge asks how recent the receiver's configuration is, KeyAnswer answers such a question.
	KeyChallenge *KeyChallenge `json:"kc,omitempty"`
	KeyAnswer    *KeyAnswer    `json:"ka,omitempty"`
}

// Taker is a node that may take requests of another one. LinkMbps is the bandwidth of its network link; 0 if it isn't known.
type Taker struct {
	Address  string  `json:"a"`
	Zone     string  `json:"z,omitempty"`
	LinkMbps float64 `json:"l,omitempty"`
}

// OwnersNotice tells which nodes hold the leases of the model servers.
type OwnersNotice struct {
	// Era is the era of the store in which the owners were read, Version the version of the group for which they were. Nodes that
	// don't know eras take the version for a generation, and send their own in its place.
	Era     serving.StoreEra `json:"e,omitempty"`
	Version int64            `json:"g"`
	// Owners maps each partition to the peer address of its owner. It's left out while it's unchanged.
	Owners map[int]string `json:"o,omitempty"`
	// Invited holds the peer addresses of the nodes that are to join the group.
	Invited []string `json:"i,omitempty"`
}

// AdmissionRequest requests the admission of a prompt to a server.
type AdmissionRequest struct {
	ServerID string `json:"s"`
	ID       uint64 `json:"i"`
	Tokens   int    `json:"t"`
	Priority int    `json:"p,omitempty"`
	// LifetimeMs is the time until the deadline of a request whose end the sender tells, as it does for brittle servers; 0
	// for others.
	LifetimeMs int64 `json:"l,omitempty"`
}

// AdmissionRelease ends an admission request, granted or not.
type AdmissionRelease struct {
	ServerID string `json:"s"`
	ID       uint64 `json:"i"`
	// Read is true when the server has read the prompt, as its first event shows.
	Read bool `json:"r,omitempty"`
	// Ended is true when the request has ended whose prompt was read, if the request said that its end would be told.
	Ended bool `json:"e,omitempty"`
}

// NewUsage encodes the usage of one server.
func NewUsage(serverID string, usage residency.Usage) ServerUsage {
	entry := ServerUsage{
		ServerID: serverID, Running: encodeCounts(usage.Running), Sent: encodeCounts(usage.Sent),
		EventGapUs: usage.EventGap.Microseconds(), Events: usage.Events, EventsBorn: usage.EventsBorn,
	}
	for adapter, demand := range usage.Wants {
		entry.Demand = append(entry.Demand, demandEntry{
			Adapter: adapter.String(), Waiting: demand.Waiting, Priority: demand.Priority,
			PatienceMs: demand.Patience.Milliseconds(),
		})
	}
	return entry
}

// Decode returns the usage that node reported.
func (u ServerUsage) Decode(node string) residency.Usage {
	usage := residency.Usage{
		Node: node, Wants: make(map[serving.Adapter]residency.AdapterDemand),
		Running: decodeCounts(u.Running), Sent: decodeCounts(u.Sent),
		EventGap: time.Duration(u.EventGapUs) * time.Microsecond, Events: u.Events, EventsBorn: u.EventsBorn,
	}
	for _, demand := range u.Demand {
		usage.Wants[serving.ParseAdapter(demand.Adapter)] = residency.AdapterDemand{
			Waiting: demand.Waiting, Priority: demand.Priority,
			Patience: time.Duration(demand.PatienceMs) * time.Millisecond,
		}
	}
	return usage
}

func encodeCounts(byAdapter map[serving.Adapter]int) []countEntry {
	entries := make([]countEntry, 0, len(byAdapter))
	for adapter, count := range byAdapter {
		entries = append(entries, countEntry{Adapter: adapter.String(), Count: count})
	}
	return entries
}

func decodeCounts(entries []countEntry) map[serving.Adapter]int {
	byAdapter := make(map[serving.Adapter]int, len(entries))
	for _, entry := range entries {
		byAdapter[serving.ParseAdapter(entry.Adapter)] = entry.Count
	}
	return byAdapter
}

// AddState appends a published state to the message.
func (m *Message) AddState(state serverview.Published) {
	entry := stateEntry{
		ServerID: state.ServerID, Born: state.Born, Fence: state.Fence, Sequence: state.Sequence, Ready: state.Ready,
		FreeSlots: state.Slots.Free, SlotWaiting: state.Slots.Waiting, TurnoverMs: state.Slots.Turnover.Milliseconds(),
		OrdersInMs: state.Slots.OrdersIn.Milliseconds(), Adapters: encodeVersions(state.Adapters), Hot: state.Hot.String(),
		Kind: uint8(state.Kind), Revision: state.Revision, Base: state.Base,
		Waiting: state.Waiting, Running: state.Running, BacklogMs: state.Backlog.Milliseconds(),
		LoadAgeMs: state.LoadAge.Milliseconds(), Asked: state.Asked, Arrivals: int(math.Round(10 * state.Arrivals)),
		StepBaseUs: state.Step.Base.Microseconds(), StepPerRunUs: state.Step.PerRun.Microseconds(),
		SlowPercent: int(math.Round(100 * state.Step.Slowness)),
		ColdLoadMs:  state.LoadTimes.Cold.Milliseconds(), WarmLoadMs: state.LoadTimes.Warm.Milliseconds(),
	}
	if state.Tolerance.Named {
		entry.Tolerance, entry.ToleranceAgoMs = &state.Tolerance.PerSecond, state.ToleranceAge.Milliseconds()
	}
	for _, adapter := range state.Removed {
		entry.Removed = append(entry.Removed, adapter.String())
	}
	m.States = append(m.States, entry)
}

// Published decodes the states that the message carries.
func (m *Message) Published() []serverview.Published {
	states := make([]serverview.Published, 0, len(m.States))
	for _, s := range m.States {
		state := serverview.Published{
			Kind: serverview.PublicationKind(s.Kind), Revision: s.Revision, Base: s.Base,
			ServerID: s.ServerID, Born: s.Born, Holder: m.From, Fence: s.Fence, Sequence: s.Sequence, Ready: s.Ready,
			Slots: serving.SlotQueue{
				Free: s.FreeSlots, Waiting: s.SlotWaiting, Turnover: time.Duration(s.TurnoverMs) * time.Millisecond,
				OrdersIn: time.Duration(s.OrdersInMs) * time.Millisecond,
			},
			Adapters: decodeVersions(s.Adapters), Hot: serving.ParseAdapter(s.Hot),
			Waiting: s.Waiting, Running: s.Running,
			Backlog: time.Duration(s.BacklogMs) * time.Millisecond,
			LoadAge: time.Duration(s.LoadAgeMs) * time.Millisecond, Asked: s.Asked, Arrivals: float64(s.Arrivals) / 10,
			Step: steptime.Cost{
				Base: time.Duration(s.StepBaseUs) * time.Microsecond, PerRun: time.Duration(s.StepPerRunUs) * time.Microsecond,
				Slowness: float64(s.SlowPercent) / 100,
			},
			LoadTimes: serving.LoadTimes{
				Cold: time.Duration(s.ColdLoadMs) * time.Millisecond, Warm: time.Duration(s.WarmLoadMs) * time.Millisecond,
			},
		}
		if s.Tolerance != nil {
			state.Tolerance = serving.NamedRate{Named: true, PerSecond: max(*s.Tolerance, 0)}
			state.ToleranceAge = milliseconds(s.ToleranceAgoMs)
		}
		for _, name := range s.Removed {
			state.Removed = append(state.Removed, serving.ParseAdapter(name))
		}
		states = append(states, state)
	}
	return states
}

// Arrival reports that a server has loaded an adapter version.
type Arrival struct {
	ServerID string `json:"s"`
	Adapter  string `json:"a"`
	Version  int    `json:"v"`
}

// AdapterVersion decodes the adapter and its version.
func (a Arrival) AdapterVersion() serving.AdapterVersion {
	return serving.AdapterVersion{Adapter: serving.ParseAdapter(a.Adapter), Version: a.Version}
}

func encodeVersions(versions map[serving.Adapter]int) map[string]int {
	byName := make(map[string]int, len(versions))
	for adapter, version := range versions {
		byName[adapter.String()] = version
	}
	return byName
}

func decodeVersions(byName map[string]int) map[serving.Adapter]int {
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
	zone    string
	// linkMbps is sent with each message.
	linkMbps float64
	events   *event.Log
	// sent and received count the messages.
	sent, received traffic
}

// SetLinkMbps sets the bandwidth of this node's network link, of which the peers are told. It must be called before the link
// is used.
func (l *Link) SetLinkMbps(linkMbps float64) { l.linkMbps = linkMbps }

// Listen opens the link on address, ip:port, which also identifies this node to its peers. zone is the node's
// availability zone.
func Listen(address, zone string, events *event.Log) (*Link, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, "resolve peer address", address)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, "listen on peer address", address)
	}
	return &Link{
		conn: conn, address: address, zone: zone, events: events, sent: newTraffic("sent"), received: newTraffic("received"),
	}, nil
}

// Address returns the peer address of this node, which identifies it to its peers.
func (l *Link) Address() string { return l.address }

// Send sends a message to peers. Failures are only logged, as senders repeat what is still current.
func (l *Link) Send(message Message, peers ...string) {
	message.From, message.Zone, message.LinkMbps = l.address, l.zone, l.linkMbps
	data, err := json.Marshal(message)
	if err != nil {
		l.events.EmitError(event.PeerMessageFailed, err, nil)
		return
	}
	l.sent.add(&message, len(peers), len(data))
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

// Run calls handle for each received message until ctx ends. Datagrams that can't be decoded are logged and dropped.
func (l *Link) Run(ctx context.Context, handle func(now time.Time, message Message)) error {
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
			err = failure.Wrap(err, failure.Invalid, "decode peer message", from.String())
			l.events.EmitError(event.PeerMessageFailed, err, nil)
			continue
		}
		l.received.add(&message, 1, n)
		handle(time.Now(), message)
	}
}
