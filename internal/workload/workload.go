// Package workload generates, writes and reads request traces that model the deployments: skewed popularity with sudden
// shifts, bursts on a single adapter, a daily cycle of the rate, and a mix of priority classes.
package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// Request is one arrival of a trace.
type Request struct {
	// At is the time since the start of the trace.
	At time.Duration `json:"at"`
	// Adapter is an index from 0 to Options.Adapters-1.
	Adapter int `json:"adapter"`
	// Class is the rank of the priority class; 0 is the most urgent.
	Class int `json:"class"`
	// Tokens is the length of the answer in tokens.
	Tokens int `json:"tokens"`
}

// ClassShare is the share of the requests that belong to a class.
type ClassShare struct {
	Rank int
	// Share is the weight relative to the other classes.
	Share float64
	// MeanTokens is the mean length of an answer in tokens.
	MeanTokens float64
}

// Options configures a trace.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Adapters int
	// Exponent is the Zipf exponent of the popularity.
	Exponent float64
	// Rate is the mean number of arrivals per second.
	Rate float64
	// ShiftEvery is the interval at which popularity ranks move to other adapters; 0 means never.
	ShiftEvery time.Duration
	// ShiftShare is the fraction of the ranks that moves at a shift, from 0 to 1.
	ShiftShare float64
	// BurstEvery is the interval between bursts, each on an adapter drawn uniformly; 0 means never.
	BurstEvery time.Duration
	// BurstSize is the number of requests of a burst, spread over BurstLength.
	BurstSize   int
	BurstLength time.Duration
	// DayLength is the period of the daily cycle of the rate; 0 means a constant rate.
	DayLength time.Duration
	// DailyAmplitude is the amplitude of the daily cycle as a fraction of the rate, from 0 to 1.
	DailyAmplitude float64
	Classes        []ClassShare
}

// SaintLouis returns the workload of the Saint-Louis deployment: short urgent look-ups and filings, and long texts of
// lower priority.
func SaintLouis(seed uint64) Options {
	return Options{
		Seed: seed, Duration: 30 * time.Minute, Adapters: 3000, Exponent: 1.0, Rate: 5,
		ShiftEvery: 10 * time.Minute, ShiftShare: 0.3,
		BurstEvery: 3 * time.Minute, BurstSize: 40, BurstLength: 10 * time.Second,
		Classes: []ClassShare{{Rank: 0, Share: 0.4, MeanTokens: 40}, {Rank: 1, Share: 0.35, MeanTokens: 200}, {Rank: 2, Share: 0.25, MeanTokens: 200}},
	}
}

// Seoul returns the workload of the Seoul deployment: mostly drafts, which arrive in bursts for the same adapter.
func Seoul(seed uint64) Options {
	return Options{
		Seed: seed, Duration: 30 * time.Minute, Adapters: 3000, Exponent: 1.0, Rate: 5,
		ShiftEvery: 15 * time.Minute, ShiftShare: 0.2,
		BurstEvery: time.Minute, BurstSize: 30, BurstLength: 20 * time.Second,
		DayLength: 30 * time.Minute, DailyAmplitude: 0.5,
		Classes: []ClassShare{{Rank: 0, Share: 0.15, MeanTokens: 40}, {Rank: 1, Share: 0.6, MeanTokens: 150}, {Rank: 2, Share: 0.25, MeanTokens: 250}},
	}
}

const (
	// Separate random streams keep the arrivals of a seed unchanged when the answer lengths are drawn differently.
	streamArrivals = 1
	streamTokens   = 2
	streamRanks    = 3
	minimumTokens  = 4
	maximumTokens  = 1000
)

type generator struct {
	options  Options
	interval distuv.Exponential
	adapter  distuv.Categorical
	class    distuv.Categorical
	uniform  *rand.Rand
	tokens   *rand.Rand
	ranks    []int
}

// Generate returns the trace in the order of arrival. The same options give the same trace.
func Generate(options Options) []Request {
	g := newGenerator(options)
	requests := g.base()
	requests = append(requests, g.bursts()...)
	sortByArrival(requests)
	return requests
}

func newGenerator(options Options) *generator {
	arrivals := rand.NewPCG(options.Seed, streamArrivals)
	popularity := make([]float64, options.Adapters)
	for i := range popularity {
		popularity[i] = math.Pow(float64(i+1), -options.Exponent)
	}
	shares := make([]float64, len(options.Classes))
	for i, class := range options.Classes {
		shares[i] = class.Share
	}
	g := &generator{
		options:  options,
		interval: distuv.Exponential{Rate: 1, Src: arrivals},
		adapter:  distuv.NewCategorical(popularity, arrivals),
		class:    distuv.NewCategorical(shares, arrivals),
		uniform:  rand.New(rand.NewPCG(options.Seed, streamRanks)),
		tokens:   rand.New(rand.NewPCG(options.Seed, streamTokens)),
	}
	g.ranks = g.uniform.Perm(options.Adapters)
	return g
}

// base generates the arrivals outside bursts.
func (g *generator) base() []Request {
	var requests []Request
	nextShift := g.options.ShiftEvery
	for at := time.Duration(0); ; {
		seconds := g.interval.Rand() / g.rateAt(at)
		at += time.Duration(seconds * float64(time.Second))
		if at >= g.options.Duration {
			return requests
		}
		for g.options.ShiftEvery > 0 && at >= nextShift {
			g.shift()
			nextShift += g.options.ShiftEvery
		}
		adapter := g.ranks[int(g.adapter.Rand())]
		requests = append(requests, g.request(at, adapter))
	}
}

func (g *generator) rateAt(at time.Duration) float64 {
	if g.options.DayLength == 0 {
		return g.options.Rate
	}
	phase := 2 * math.Pi * at.Seconds() / g.options.DayLength.Seconds()
	return g.options.Rate * (1 + g.options.DailyAmplitude*math.Sin(phase))
}

// shift swaps the adapters of the most popular ranks with those of ranks drawn uniformly.
func (g *generator) shift() {
	moves := int(g.options.ShiftShare * float64(len(g.ranks)))
	for rank := range moves {
		other := g.uniform.IntN(len(g.ranks))
		g.ranks[rank], g.ranks[other] = g.ranks[other], g.ranks[rank]
	}
}

func (g *generator) bursts() []Request {
	if g.options.BurstEvery == 0 {
		return nil
	}
	var requests []Request
	for start := g.options.BurstEvery; start < g.options.Duration; start += g.options.BurstEvery {
		adapter := g.uniform.IntN(g.options.Adapters)
		for range g.options.BurstSize {
			at := start + time.Duration(g.uniform.Int64N(int64(g.options.BurstLength)))
			if at < g.options.Duration {
				requests = append(requests, g.request(at, adapter))
			}
		}
	}
	return requests
}

func (g *generator) request(at time.Duration, adapter int) Request {
	class := g.options.Classes[int(g.class.Rand())]
	tokens := int(g.tokens.ExpFloat64() * class.MeanTokens)
	tokens = min(max(tokens, minimumTokens), maximumTokens)
	return Request{At: at, Adapter: adapter, Class: class.Rank, Tokens: tokens}
}
