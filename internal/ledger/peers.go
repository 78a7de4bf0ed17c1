package ledger

import (
	"context"
	"errors"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// maximumIdlePeers limits the idle connections to other gateways.
	maximumIdlePeers = 16
	idlePeerTimeout  = 30 * time.Second
)

// peers looks up claims at other gateways.
type peers struct{ client *http.Client }

func newPeers() *peers {
	return &peers{client: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maximumIdlePeers, MaxIdleConnsPerHost: 1, IdleConnTimeout: idlePeerTimeout,
	}}}
}

func (p *peers) lookup(ctx context.Context, a lookupAction) (lookupResult, error) {
	limited, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	service := peerpb.NewClaimsProtobufClient("http://"+a.address, p.client)
	answer, err := service.Lookup(limited, &peerpb.LookupRequest{KeyHash: a.hash[:], Incarnation: a.incarnation})
	if err != nil {
		return lookupResult{}, failure.Wrap(err, failure.Unavailable, "look up claim", a.address)
	}
	return lookupResult{reached: true, state: answer.State, outcome: outcomeOf(answer)}, nil
}

// outcomeOf returns the outcome in a lookup response. A completed claim without a status has a body that is no longer
// held.
func outcomeOf(answer *peerpb.LookupResponse) Outcome {
	return Outcome{
		Status: int(answer.Status), ContentType: answer.ContentType, Body: answer.Body, BodyDropped: answer.Status == 0,
	}
}

func (d *Driver) runQueries(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-d.queries.Items():
			switch a := next.(type) {
			case lookupAction:
				d.runLookup(ctx, a)
			case fetchAction:
				result := d.fetch(ctx, a)
				d.submit(ctx, func(time.Time) { d.core.fetchDone(a.ticket, result) })
			}
		}
	}
}

func (d *Driver) runLookup(ctx context.Context, a lookupAction) {
	result, err := d.peers.lookup(ctx, a)
	if err != nil {
		d.options.Events.EmitError(event.LedgerLookupFailed, err, nil)
	}
	d.submit(ctx, func(now time.Time) { d.core.lookupDone(now, a.ticket, result) })
}

// fetch reads a recorded outcome from the log.
func (d *Driver) fetch(ctx context.Context, a fetchAction) fetchResult {
	limited, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	read, err := d.options.Log.Read(limited, platform.ClaimsStream, a.offset, 0)
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		return fetchResult{trimmed: true}
	}
	if err != nil {
		d.options.Events.EmitError(event.LedgerBodyFailed, err, event.Fields{"offset": a.offset})
		return fetchResult{}
	}
	for _, record := range read.Records {
		if record.Offset == a.offset {
			return findOutcome(record.Data, a.hash)
		}
	}
	return fetchResult{}
}

func findOutcome(data []byte, hash KeyHash) fetchResult {
	b, err := decodeBatch(data)
	if err != nil {
		return fetchResult{}
	}
	for _, e := range b.entries {
		if e.kind == outcomeEntry && e.hash == hash {
			return fetchResult{outcome: e.outcome.outcome(), found: true}
		}
	}
	return fetchResult{}
}

// Handler returns the handler of the Claims service, to be mounted at peerpb.ClaimsPathPrefix.
func (d *Driver) Handler() http.Handler { return peerpb.NewClaimsServer(&claimsService{driver: d}) }

type claimsService struct{ driver *Driver }

// Lookup implements peerpb.Claims.
func (s *claimsService) Lookup(ctx context.Context, request *peerpb.LookupRequest) (*peerpb.LookupResponse, error) {
	var hash KeyHash
	if copy(hash[:], request.KeyHash) != len(hash) {
		return nil, failure.New(failure.Invalid, "look up claim", "", "the key hash must have 16 bytes")
	}
	answers := make(chan *peerpb.LookupResponse, 1)
	s.driver.submit(ctx, func(time.Time) {
		state, outcome := s.driver.core.lookup(hash, request.Incarnation)
		answers <- lookupResponse(state, outcome)
	})
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.driver.stopped.Done():
		return nil, failure.New(failure.Unavailable, "look up claim", "", "the ledger has stopped")
	}
}

func lookupResponse(state peerpb.ClaimState, outcome Outcome) *peerpb.LookupResponse {
	if outcome.BodyDropped {
		return &peerpb.LookupResponse{State: state}
	}
	return &peerpb.LookupResponse{
		State: state, Status: uint32(outcome.Status), ContentType: outcome.ContentType, Body: outcome.Body,
	}
}
