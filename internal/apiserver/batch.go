package apiserver

import (
	"fmt"
	"net/http"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

type batchRequest struct {
	Operations []change `json:"operations"`
}

type batchResponse struct {
	Results []batchResult `json:"results"`
}

// batchResult is the verdict on one operation; Error is nil when it was accepted.
type batchResult struct {
	Kind            resource.Kind    `json:"kind"`
	Name            string           `json:"name"`
	OperationID     string           `json:"operationId"`
	Outcome         resource.Outcome `json:"outcome"`
	ResourceVersion platform.Offset  `json:"resourceVersion,omitempty"`
	Error           *apiError        `json:"error,omitempty"`
}

// batch writes many operations in few records. Each is accepted or refused on its own.
func (s *Server) batch(w http.ResponseWriter, request *http.Request) {
	var body batchRequest
	if err := s.readBody(w, request, s.settings.Limits.BatchBytes, &body); err != nil {
		writeError(w, bodyError(err))
		return
	}
	count, limit := len(body.Operations), s.settings.Limits.BatchOperations
	if count == 0 || count > limit {
		writeError(w, invalidField("operations", fmt.Sprintf("field \"operations\" has %d entries; allowed: 1 to %d", count, limit)))
		return
	}
	operations, failure := batchOperations(body.Operations)
	if failure != nil {
		writeError(w, failure)
		return
	}
	ctx, cancel := s.writeContext(request)
	defer cancel()
	writeJSON(w, http.StatusOK, batchAnswer(operations, s.writer.Apply(ctx, operations)))
}

// batchOperations refuses two changes of one resource, because the records of a batch have no defined order.
func batchOperations(changes []change) ([]resource.Operation, *apiError) {
	operations := make([]resource.Operation, 0, len(changes))
	named := map[string]bool{}
	for i := range changes {
		op, failure := changes[i].operation()
		if failure != nil {
			failure.Field = fmt.Sprintf("operations[%d].%s", i, failure.Field)
			return nil, failure
		}
		target := string(op.Kind) + "/" + op.Name
		if named[target] {
			field := fmt.Sprintf("operations[%d].name", i)
			return nil, invalidField(field, fmt.Sprintf("field %q has value %q; allowed: each resource once in a batch", field, changes[i].Name))
		}
		named[target] = true
		operations = append(operations, op)
	}
	return operations, nil
}

func batchAnswer(operations []resource.Operation, results []resource.Result) batchResponse {
	answer := batchResponse{Results: make([]batchResult, 0, len(results))}
	for i, result := range results {
		one := batchResult{Kind: operations[i].Kind, Name: operations[i].Name, OperationID: result.OperationID, Outcome: result.Outcome}
		one.Error = resultError(result)
		if one.Error == nil {
			one.ResourceVersion = result.Version
		}
		answer.Results = append(answer.Results, one)
	}
	return answer
}
