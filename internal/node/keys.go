package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/keyproof"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// proofShare is the share of the time for a revocation for which a proof is valid. The rest covers clocks that run at
	// different speeds.
	proofShare = 0.9
	// currentProofAge is the largest age of a proof at which a key that the configuration lacks is refused for good.
	currentProofAge = 1500 * time.Millisecond
	// keyCheckPeriod is the time between two checks of whether a challenge is due.
	keyCheckPeriod = 100 * time.Millisecond
	// refreshPatience is how long a request waits for a newer proof; readers answer within some milliseconds.
	refreshPatience = 200 * time.Millisecond
	// unknownProofAge is reported while there is no proof.
	unknownProofAge = -time.Millisecond
)

// keys guards the core that decides how long API keys are accepted, and exchanges challenges and answers with other nodes.
// It implements forward.Keys.
type keys struct {
	node     *Node
	strict   bool
	lifetime time.Duration
	mu       sync.Mutex
	core     *keyproof.Core
	// renewed is closed when the proof becomes newer.
	renewed chan struct{}
	// accepting is true while keys were accepted at the latest check, for the log.
	accepting bool
	// wanted receives a value when a request needs a newer proof.
	wanted chan struct{}
	// age is the age of the proof in milliseconds, -1 without one.
	age metrics.Gauge
}

func newKeys(n *Node) *keys {
	lifetime := time.Duration(proofShare * float64(n.settings.Keys.Revocation.Std()))
	return &keys{
		node: n, strict: n.settings.Keys.Strict, lifetime: lifetime, core: keyproof.New(lifetime),
		renewed: make(chan struct{}), wanted: make(chan struct{}, 1),
		age: metrics.GetOrRegisterGauge("keys.proofAgeMs", nil),
	}
}

// forwarderKeys returns what the forwarder checks keys with; nil if the configuration in force alone decides.
func (k *keys) forwarderKeys() forward.Keys {
	if !k.strict {
		return nil
	}
	return k
}

// needed reports whether keys are accepted only with a proof.
func (k *keys) needed() bool {
	config := k.node.forwarder.Config()
	return k.strict && config != nil && config.HasCustomers()
}

// update applies a change to the core, and wakes the requests that wait for a newer proof if there is one.
func (k *keys) update(change func(core *keyproof.Core)) {
	now := bootTime()
	k.mu.Lock()
	defer k.mu.Unlock()
	before, had := k.core.Age(now)
	change(k.core)
	if after, has := k.core.Age(now); has && (!had || after < before) {
		close(k.renewed)
		k.renewed = make(chan struct{})
	}
}

// position returns the position of this node if it has applied the records before next.
func (k *keys) position(next serving.Position) keyproof.Position {
	position := keyproof.Position{Era: next.Era, Offset: next.Offset}
	if config := k.node.forwarder.Config(); config != nil {
		position.Version = config.Version
	}
	return position
}

// readOperator records this node's read of the operators' records, sent at the given reading of bootTime, after they were
// applied.
func (k *keys) readOperator(sentAt time.Duration, next serving.Cursor) {
	position := k.position(next.Position())
	k.update(func(core *keyproof.Core) {
		if next.More {
			core.Applied(position)
			return
		}
		core.Read(sentAt, position)
	})
}

// applied records that the operators' records before next were applied, which another node had read.
func (k *keys) applied(next serving.Position) {
	position := k.position(next)
	k.update(func(core *keyproof.Core) { core.Applied(position) })
}

// run sends challenges until ctx ends.
func (k *keys) run(ctx context.Context) error {
	for ctx.Err() == nil {
		k.step(time.Now())
		delay.Until(ctx, keyCheckPeriod, k.wanted)
	}
	return nil
}

func (k *keys) step(now time.Time) {
	if !k.needed() {
		return
	}
	self := k.node.link.Address()
	readers := slices.Compact(slices.Sorted(slices.Values(k.node.leases.readers())))
	readers = slices.DeleteFunc(readers, func(reader string) bool { return reader == self })
	follows := k.node.watch.followsOperator(now)
	nonce := rand.Uint64()
	k.mu.Lock()
	reader, due := k.core.Challenge(bootTime(), nonce, readers, follows)
	k.mu.Unlock()
	if due {
		k.node.link.Send(peerlink.Message{KeyChallenge: &peerlink.KeyChallenge{Nonce: nonce}}, reader)
	}
	k.logChange(readers, follows)
}

// logChange logs when this node begins or ceases to accept keys.
func (k *keys) logChange(readers []string, follows bool) {
	k.mu.Lock()
	now := bootTime()
	age, proven := k.core.Age(now)
	accepting := k.core.AcceptsKeys(now)
	changed := accepting != k.accepting
	k.accepting = accepting
	k.mu.Unlock()
	if !proven {
		age = unknownProofAge
	}
	k.age.Update(age.Milliseconds())
	if !changed {
		return
	}
	kind := event.KeysUnproven
	if accepting {
		kind = event.KeysProven
	}
	k.node.events.Emit(kind, event.Fields{
		"ageMs": age.Milliseconds(), "lifetimeMs": k.lifetime.Milliseconds(), "readers": readers, "follows": follows,
	})
}

// handleMessage answers a challenge, and applies an answer to one of this node.
func (k *keys) handleMessage(message peerlink.Message) {
	if message.KeyChallenge != nil {
		k.mu.Lock()
		age, position, ok := k.core.Answer(bootTime())
		k.mu.Unlock()
		if ok {
			answer := peerlink.NewKeyAnswer(*message.KeyChallenge, age, position)
			k.node.link.Send(peerlink.Message{KeyAnswer: &answer}, message.From)
		}
	}
	if message.KeyAnswer != nil {
		age, position := message.KeyAnswer.Decode()
		k.update(func(core *keyproof.Core) { core.Answered(bootTime(), message.KeyAnswer.Nonce, age, position) })
	}
}

// readDue reports whether the operators' records have to be read because no reader answers challenges.
func (k *keys) readDue() bool {
	if !k.needed() {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.core.ReadDue(bootTime())
}

// Status implements forward.Keys.
func (k *keys) Status() forward.KeyStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status()
}

// status is Status for a caller that holds k.mu.
func (k *keys) status() forward.KeyStatus {
	now := bootTime()
	age, proven := k.core.Age(now)
	if !proven {
		return forward.KeyStatus{Age: unknownProofAge}
	}
	return forward.KeyStatus{
		Accept: k.core.AcceptsKeys(now), Current: age <= min(currentProofAge, k.lifetime), Age: age,
	}
}

// Refresh implements forward.Keys. It returns at once if nobody has answered lately, as then nobody will in time.
func (k *keys) Refresh(ctx context.Context) {
	k.mu.Lock()
	responsive := k.core.Responsive(bootTime())
	k.core.Refresh()
	renewed := k.renewed
	k.mu.Unlock()
	notify(k.wanted)
	if !responsive {
		return
	}
	timer := time.NewTimer(refreshPatience)
	defer timer.Stop()
	for {
		select {
		case <-renewed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		current := k.status().Current
		renewed = k.renewed
		k.mu.Unlock()
		if current {
			return
		}
	}
}
