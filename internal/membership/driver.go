package membership

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/ring"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	commandCapacity = 1024
	sendCapacity    = 64
	senders         = 8
	tickPeriod      = 50 * time.Millisecond
	// vmListInterval and vmListPerVM keep the reads of the VM list, at some 100 bytes a VM, under 500 B/s.
	vmListInterval = 5 * time.Second
	vmListPerVM    = 200 * time.Millisecond
)

// Options are the dependencies of a driver.
type Options struct {
	// Self is this node: name, zone and scheduler address. The start time in ms becomes its incarnation when that
	// is higher, so that the incarnation grows over restarts without persistent storage.
	Self *peerpb.NodeEntry
	// Seeds are scheduler addresses, ip:port, that are contacted to join the other nodes.
	Seeds  []string
	VMs    platform.VMList
	Events *event.Log
}

// snapshot is an immutable state of the table that readers share.
type snapshot struct {
	nodes   []*peerpb.NodeEntry
	version uint64
}

// Driver runs membership for one scheduler. It implements Table.
type Driver struct {
	options   Options
	core      *core
	client    *http.Client
	commands  *ring.Ring[func(time.Time)]
	sends     *ring.Ring[sendAction]
	responses map[uint64]chan *peerpb.ExchangeResponse
	nextToken uint64
	current   atomic.Pointer[snapshot]
	// stopped is cancelled when Run has returned; no command is executed after that.
	stopped context.Context
	stop    context.CancelFunc
}

// NewDriver returns a table that holds only this node until Run has found others.
func NewDriver(options Options) *Driver {
	now := time.Now()
	self := proto.Clone(options.Self).(*peerpb.NodeEntry)
	self.Incarnation = max(self.Incarnation, uint64(now.UnixMilli()))
	stopped, stop := context.WithCancel(context.Background())
	d := &Driver{
		options: options,
		core:    newCore(self, options.Seeds, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now),
		// A reused connection may have failed silently while new ones work, which would make a live node look dead.
		client:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		commands:  ring.New[func(time.Time)]("membership.commands", commandCapacity),
		sends:     ring.New[sendAction]("membership.sends", sendCapacity),
		responses: map[uint64]chan *peerpb.ExchangeResponse{},
		stopped:   stopped,
		stop:      stop,
	}
	d.publish()
	return d
}

// Run probes and gossips until ctx ends. It must be called at most once.
func (d *Driver) Run(ctx context.Context) error {
	defer d.stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.runCore(ctx) })
	group.Go(func() error { return d.runVMList(ctx) })
	for range senders {
		group.Go(func() error { return d.runSends(ctx) })
	}
	return group.Wait()
}

// runCore runs in the only goroutine that accesses the core and the responses.
func (d *Driver) runCore(ctx context.Context) error {
	return ring.Loop(ctx, tickPeriod, d.core.tick, d.performActions, d.commands, nil)
}

func (d *Driver) performActions() {
	for _, next := range d.core.drainActions() {
		switch a := next.(type) {
		case sendAction:
			// When all senders are busy the exchange fails at its deadline.
			d.sends.TryPush(a)
		case respondAction:
			d.respond(a)
		case eventAction:
			d.emit(a)
		}
	}
	if d.core.version != d.current.Load().version {
		d.publish()
	}
}

func (d *Driver) publish() {
	d.current.Store(&snapshot{nodes: d.core.nodes(), version: d.core.version})
}

func (d *Driver) respond(a respondAction) {
	waiter := d.responses[a.token]
	delete(d.responses, a.token)
	if waiter != nil {
		waiter <- a.response
	}
}

// logEvents maps each eventKind to its log event.
var logEvents = map[eventKind]event.Event{
	eventNodeChanged:      event.NodeChanged,
	eventNodeRemoved:      event.NodeRemoved,
	eventSuspicionRefuted: event.NodeRefuted,
	eventProcessReported:  event.ProcessReported,
	eventProcessSilent:    event.ProcessSilent,
}

func (d *Driver) emit(a eventAction) {
	fields := event.Fields{"name": a.name}
	if a.entry != nil {
		fields["state"] = a.entry.State.String()
		fields["incarnation"] = a.entry.Incarnation
		fields["address"] = a.entry.Scheduler
	}
	d.options.Events.Emit(logEvents[a.kind], fields)
}

func (d *Driver) runSends(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-d.sends.Items():
			response := d.exchange(ctx, a)
			_ = d.commands.Push(ctx, func(now time.Time) { d.core.exchangeEnded(now, a.id, response) })
		}
	}
}

// exchange calls another scheduler and returns nil if the call fails.
func (d *Driver) exchange(ctx context.Context, a sendAction) *peerpb.ExchangeResponse {
	callCtx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	service := peerpb.NewMembershipProtobufClient("http://"+a.address, d.client)
	response, err := service.Exchange(callCtx, a.request)
	if err != nil {
		err = failure.Wrap(err, failure.Unavailable, "exchange membership", a.address)
		d.options.Events.EmitError(event.ExchangeFailed, err, nil)
		return nil
	}
	return response
}

func (d *Driver) runVMList(ctx context.Context) error {
	if d.options.VMs == nil {
		return nil
	}
	for ctx.Err() == nil {
		interval := vmListInterval
		vms, err := d.options.VMs.VMs(ctx)
		if err == nil {
			_ = d.commands.Push(ctx, func(now time.Time) { d.core.setVMs(now, vms) })
			interval = max(interval, time.Duration(len(vms))*vmListPerVM)
		} else if ctx.Err() == nil {
			d.options.Events.EmitError(event.VMListFailed, err, nil)
		}
		delay.For(ctx, delay.Spread(interval))
	}
	return nil
}

// Nodes implements Table. The caller must not change the entries.
func (d *Driver) Nodes() ([]*peerpb.NodeEntry, uint64) {
	current := d.current.Load()
	return current.nodes, current.version
}

// Report implements Table.
func (d *Driver) Report(report ProcessReport) {
	_ = d.commands.Push(d.stopped, func(now time.Time) { d.core.recordReport(now, report) })
}

// SetApplied records the offset of the last configuration record that this scheduler has applied.
func (d *Driver) SetApplied(applied uint64) {
	_ = d.commands.Push(d.stopped, func(now time.Time) { d.core.setApplied(now, applied) })
}

// Leave announces a planned stop to the other nodes. Run must continue until the announcement has reached them.
func (d *Driver) Leave() {
	_ = d.commands.Push(d.stopped, func(now time.Time) { d.core.leave(now) })
}

// Handler returns the handler of the Membership service, to be mounted at peerpb.MembershipPathPrefix.
func (d *Driver) Handler() http.Handler { return peerpb.NewMembershipServer(&service{driver: d}) }

type service struct{ driver *Driver }

// Exchange implements peerpb.Membership.
func (s *service) Exchange(ctx context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	d := s.driver
	waiter := make(chan *peerpb.ExchangeResponse, 1)
	err := d.commands.Push(ctx, func(now time.Time) {
		d.nextToken++
		d.responses[d.nextToken] = waiter
		d.core.handleExchange(now, d.nextToken, request)
	})
	if err != nil {
		return nil, err
	}
	select {
	case response := <-waiter:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-d.stopped.Done():
		return nil, failure.New(failure.Unavailable, "exchange membership", "", "membership has stopped")
	}
}
