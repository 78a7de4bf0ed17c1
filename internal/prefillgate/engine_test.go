package prefillgate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
)

// engine is a model of a server's engine. Each of its steps decodes one token of every stream and reads at most chunk
// tokens of prompts, in the order of their arrival.
type engine struct {
	name        string
	tokensPerMs float64
	chunk       int
	step        time.Duration
	// stride is the number of tokens of one event.
	stride   int
	maxPause time.Duration
	// way is the time of a message between the holder, a node and the engine.
	way time.Duration
}

// engines have the specifications of the users' sites and of a slower one.
var engines = []engine{
	{"fast", 38.7, 4096, 6500 * time.Microsecond, 5, 250 * time.Millisecond, time.Millisecond},
	{"few tokens an event", 19.2, 4096, 11500 * time.Microsecond, 2, 400 * time.Millisecond, time.Millisecond},
	{"slow", 9.6, 2048, 15 * time.Millisecond, 3, 500 * time.Millisecond, 2 * time.Millisecond},
}

// message is a grant on its way to the engine or the end of a prompt on its way to the holder.
type message struct {
	at      time.Time
	request prefillgate.Request
}

// play is a run of a gate with an engine.
type play struct {
	engine  engine
	gate    *prefillgate.Core
	random  *rand.Rand
	now     time.Time
	nextID  uint64
	ended   time.Time
	toRead  []message
	unread  []int
	reading []prefillgate.Request
	read    []message
	// pauses are the times between two events of a stream that runs all the time.
	pauses []time.Duration
	// tokens is the number of tokens read.
	tokens int
	// waits are the times between the arrival of a request and its grant.
	waits []time.Duration
}

func newPlay(e engine, seed uint64) *play {
	p := &play{
		engine: e, gate: prefillgate.New(prefillgate.Options{MaxPause: e.maxPause}), random: rand.New(rand.NewPCG(seed, 0)),
		now: start, ended: start,
	}
	p.gate.SetEventTime(time.Duration(e.stride) * e.step)
	return p
}

// run plays the given time at a load, a share of what the engine can read. Prompts arrive in clumps.
func (p *play) run(duration time.Duration, load float64) {
	perStep := 0
	for end := p.now.Add(duration); p.now.Before(end); perStep++ {
		budget := p.engine.chunk
		took := p.engine.step
		for budget > 0 && len(p.reading) > 0 {
			part := min(budget, p.unread[0])
			budget -= part
			p.unread[0] -= part
			p.tokens += part
			took += time.Duration(float64(part) / p.engine.tokensPerMs * float64(time.Millisecond))
			if p.unread[0] > 0 {
				break
			}
			p.read = append(p.read, message{request: p.reading[0]})
			p.reading, p.unread = p.reading[1:], p.unread[1:]
		}
		stepEnd := p.now.Add(took)
		for i := range p.read {
			if p.read[i].at.IsZero() {
				p.read[i].at = stepEnd.Add(2 * p.engine.way)
			}
		}
		p.exchange(stepEnd, load)
		if perStep%p.engine.stride == 0 {
			p.pauses = append(p.pauses, stepEnd.Sub(p.ended))
			p.ended = stepEnd
		}
	}
}

// exchange advances the time to until, with the messages and arrivals in between.
func (p *play) exchange(until time.Time, load float64) {
	const tick = time.Millisecond
	for ; p.now.Before(until); p.now = p.now.Add(tick) {
		p.arrive(tick, load)
		for len(p.read) > 0 && !p.read[0].at.IsZero() && !p.now.Before(p.read[0].at) {
			p.gate.Done(p.now, "n", p.read[0].request.ID, true)
			p.read = p.read[1:]
		}
		granted, _ := p.gate.Next(p.now)
		for _, request := range granted {
			p.waits = append(p.waits, p.now.Sub(request.At))
			p.toRead = append(p.toRead, message{at: p.now.Add(2 * p.engine.way), request: request})
		}
		for len(p.toRead) > 0 && !p.now.Before(p.toRead[0].at) {
			p.reading = append(p.reading, p.toRead[0].request)
			p.unread = append(p.unread, p.toRead[0].request.Tokens)
			p.toRead = p.toRead[1:]
		}
	}
}

// arrive adds clumps of one to four prompts, each of at most half of what the engine reads within the bound.
func (p *play) arrive(tick time.Duration, load float64) {
	const clump = 2.5
	largest := int(p.engine.tokensPerMs * float64(p.engine.maxPause.Milliseconds()) / 2)
	mean := clump * float64(largest) / 2
	if p.random.Float64() > load*p.engine.tokensPerMs*float64(tick.Milliseconds())/mean {
		return
	}
	for range 1 + p.random.IntN(4) {
		p.nextID++
		p.gate.Enqueue(prefillgate.Request{Node: "n", ID: p.nextID, Tokens: 1 + p.random.IntN(largest), At: p.now})
	}
}

// learningTime is how long a gate may take to learn the speed of an engine.
const learningTime = 10 * time.Second

// Guards against pauses of all streams of a server when several prompts arrive at once, on engines of any speed: on
// serrano-receitas, whose engines read half as fast as the constant of before, half of the long streams paused for more
// than the bound.
func TestStreamsPauseWithinTheBoundOnAnyEngine(t *testing.T) {
	for _, e := range engines {
		t.Run(e.name, func(t *testing.T) {
			for seed := range uint64(5) {
				p := newPlay(e, seed)
				p.run(learningTime, 0.7)
				p.pauses = nil
				p.run(60*time.Second, 0.7)
				for _, pause := range p.pauses {
					if pause > e.maxPause {
						t.Fatalf("seed %d: a stream paused for %v; the speed is taken as %.1f", seed, pause, p.gate.TokensPerMs())
					}
				}
			}
		})
	}
}

// Guards against a gate that keeps an overloaded engine idle: prompts have to get 70% of the time between the decoding
// steps that one event per bound takes.
func TestOverloadedEngineIsKeptBusy(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, e := range engines {
		p := newPlay(e, 1)
		p.run(learningTime, 1.3)
		p.tokens = 0
		p.run(30*time.Second, 1.3)
		decoding := float64(e.stride) * float64(e.step) / float64(e.maxPause)
		g.Expect(float64(p.tokens)/e.tokensPerMs/30_000).To(gomega.BeNumerically(">", 0.7*(1-decoding)), e.name)
	}
}

// Guards against a speed that is a figure of one deployment: the gate learns that of each engine.
func TestSpeedOfTheEngineIsLearned(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, e := range engines {
		p := newPlay(e, 1)
		p.run(learningTime, 0.6)
		g.Expect(p.gate.TokensPerMs()).To(gomega.BeNumerically("~", e.tokensPerMs, 0.25*e.tokensPerMs), fmt.Sprint(e.name))
	}
}
