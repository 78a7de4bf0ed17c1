package gateway

import (
	"net/http"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// Headers in requests of callers and in their answers.
const (
	headerPriority   = "Waxwing-Priority"
	headerDeadline   = "Waxwing-Deadline-Ms"
	headerIdempotent = "Waxwing-Idempotent"
	headerReplayed   = "Waxwing-Replayed"
	headerKey        = "Idempotency-Key"
	headerKeyTime    = "Idempotency-Key-Time"
	headerRequestID  = "X-Request-Id"
)

const (
	maximumDeadline  = time.Hour
	maximumKeyLength = 256
)

// effectiveClasses returns the classes that operators declared, or the default classes if there are none. A limit that
// is declared as 0 gets the default of the class standard.
func effectiveClasses(view *resource.View) []admission.Class {
	if len(view.PriorityClasses) == 0 {
		return admission.DefaultClasses()
	}
	standard, _ := admission.DefaultClass(admission.DefaultClasses())
	classes := make([]admission.Class, 0, len(view.PriorityClasses))
	for name, declared := range view.PriorityClasses {
		class := admission.Class{
			Name: name, Rank: declared.Spec.Rank, QueueLimit: declared.Spec.QueueLimit,
			MaximumWait: time.Duration(declared.Spec.MaximumWaitMs) * time.Millisecond,
			Batch: admission.BatchWindow{
				Window:     time.Duration(declared.Spec.BatchWindowMs) * time.Millisecond,
				GatherSize: declared.Spec.GatherSize,
			},
		}
		if class.QueueLimit == 0 {
			class.QueueLimit = standard.QueueLimit
		}
		if class.MaximumWait == 0 {
			class.MaximumWait = standard.MaximumWait
		}
		classes = append(classes, class)
	}
	return classes
}

// classFor returns the class that the caller's header names. Without that header it returns the class that the resource
// names, or the default class if there is no such class.
func classFor(view *resource.View, header http.Header, resourceClass string) (admission.Class, *problem) {
	classes := effectiveClasses(view)
	named := header.Get(headerPriority)
	for _, class := range classes {
		if named != "" && class.Name == named {
			return class, nil
		}
	}
	if named != "" {
		return admission.Class{}, refusal(http.StatusBadRequest, codeUnknownPriority, "%s names the unknown class %q", headerPriority, named)
	}
	for _, class := range classes {
		if class.Name == resourceClass {
			return class, nil
		}
	}
	defaultClass, _ := admission.DefaultClass(classes)
	return defaultClass, nil
}

// parseDeadline returns the time by which the request must have been dispatched, or a zero time if there is no
// deadline.
func parseDeadline(header http.Header, arrived time.Time) (time.Time, *problem) {
	text := header.Get(headerDeadline)
	if text == "" {
		return time.Time{}, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds < 1 || milliseconds > maximumDeadline.Milliseconds() {
		return time.Time{}, refusal(http.StatusBadRequest, codeInvalidHeader,
			"%s must be an integer from 1 to %d", headerDeadline, maximumDeadline.Milliseconds())
	}
	return arrived.Add(time.Duration(milliseconds) * time.Millisecond), nil
}

// parseNonIdempotent reports whether the caller marked the request as non-idempotent, so that it may run at most once.
func parseNonIdempotent(header http.Header) (bool, *problem) {
	switch text := header.Get(headerIdempotent); text {
	case "", "true":
		return false, nil
	case "false":
		return true, nil
	default:
		return false, refusal(http.StatusBadRequest, codeInvalidHeader, "%s must be true or false", headerIdempotent)
	}
}

// ledgerKey returns the key of a non-idempotent request in the at-most-once ledger.
func (g *Gateway) ledgerKey(header http.Header, target string) (ledger.Key, *problem) {
	values := header.Values(headerKey)
	if len(values) == 0 || values[0] == "" {
		return ledger.Key{}, refusal(http.StatusBadRequest, codeKeyRequired, "a non-idempotent request needs the header %s", headerKey)
	}
	if len(values) > 1 || len(values[0]) > maximumKeyLength {
		return ledger.Key{}, refusal(http.StatusBadRequest, codeKeyInvalid,
			"%s must be given once, with at most %d bytes", headerKey, maximumKeyLength)
	}
	created, err := g.components.ParseKeyTime(values[0], header.Get(headerKeyTime))
	if err != nil {
		return ledger.Key{}, refusal(http.StatusBadRequest, codeKeyInvalid, "%s: %v", headerKeyTime, err)
	}
	return ledger.Key{Hash: g.components.HashKey(values[0], target), Time: created}, nil
}
