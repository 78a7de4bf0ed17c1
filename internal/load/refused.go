package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
)

// RefusedOptions configures a check that non-idempotent calls with new keys are refused promptly as not run.
type RefusedOptions struct {
	// Gateways are addresses of the form ip:port, used in turn.
	Gateways []string
	Service  string
	Calls    int
	// MaximumDelay is the maximum time until a refusal.
	MaximumDelay time.Duration
}

// RefusedSummary is the result of a check of refusals.
type RefusedSummary struct {
	Calls int `json:"calls"`
	// NotRun counts the answers that state that the call was not run.
	NotRun int `json:"notRun"`
	// Late counts the refusals that took longer than allowed. Other counts all other answers.
	Late  int       `json:"late"`
	Other int       `json:"other"`
	Times Quantiles `json:"times"`
	// Details lists the first answers counted by Other.
	Details []string `json:"details,omitempty"`
}

// OK reports whether every call was refused in time as not run.
func (s RefusedSummary) OK() bool { return s.NotRun == s.Calls && s.Late == 0 }

// Refused sends calls with new keys one after another and checks that each is refused in time as not run.
func Refused(ctx context.Context, options RefusedOptions) (RefusedSummary, error) {
	client := &http.Client{}
	times := newTimings()
	summary := RefusedSummary{Calls: options.Calls}
	for i := range options.Calls {
		start := time.Now()
		request, err := callRequest(ctx, options.Gateways[i%len(options.Gateways)], options.Service, uuid.Must(uuid.NewV7()).String())
		if err != nil {
			return summary, err
		}
		response, err := client.Do(request)
		if err != nil {
			return summary, err
		}
		answer, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
		_ = response.Body.Close()
		if err != nil {
			return summary, err
		}
		elapsed := time.Since(start)
		times.record(elapsed)
		summary.countAnswer(answer, elapsed > options.MaximumDelay)
	}
	summary.Times = times.quantiles()
	return summary, nil
}

func (s *RefusedSummary) countAnswer(answer []byte, late bool) {
	var problem gatewayError
	if json.Unmarshal(answer, &problem) != nil || problem.Error.Execution != executionNotRun {
		s.Other++
		if len(s.Details) < maximumDetails {
			s.Details = append(s.Details, string(answer))
		}
		return
	}
	s.NotRun++
	if late {
		s.Late++
	}
}
