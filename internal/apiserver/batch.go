package apiserver

import (
	"fmt"
	"net/http"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// batchRequest is the body of POST /apis/v1/batch.
type batchRequest struct {
	Operations []change `json:"operations"`
}

// batchResponse lists the results in the order of the operations.
type batchResponse struct {
	Results []batchResult `json:"results"`
}

// batchResult is the result of one operation; Error is nil when it was accepted.
type batchResult struct {
	Kind            resource.Kind    `json:"kind"`
	Name            string           `json:"name"`
	OperationID     string           `json:"operationId"`
	Outcome         resource.Outcome `json:"outcome"`
	ResourceVersion platform.Offset  `json:"resourceVersion,omitempty"`
	Error           *apiError        `json:"error,omitempty"`
}

// batch writes many operations in few records. Each operation is accepted or rejected independently.
func (s *Server) batch(w http.ResponseWriter, request *http.Request) {
	var body batchRequest
	held, err := s.readBody(w, request, s.settings.Limits.BatchBytes, &body)
	defer held.Release()
	if err != nil {
		writeError(w, bodyError(err))
		return
	}
	count, limit := len(body.Operations), s.settings.Limits.BatchOperations
	if count == 0 || count > limit {
		message := fmt.Sprintf("field \"operations\" has %d entries; allowed: 1 to %d", count, limit)
		writeError(w, invalidField("operations", message))
		return
	}
	operations, failure := batchOperations(body.Operations)
	if failure != nil {
		writeError(w, failure)
		return
	}
	ctx, cancel := s.writeContext(request)
	defer cancel()
	writeJSON(w, http.StatusOK, newBatchResponse(operations, s.writer.Apply(ctx, operations)))
}

// batchOperations returns the operations of a batch. It rejects two changes of one resource, because the records of a
// batch have no defined order.
func batchOperations(changes []change) ([]resource.Operation, *apiError) {
	operations := make([]resource.Operation, 0, len(changes))
	targets := map[string]bool{}
	for i := range changes {
		op, failure := changes[i].operation()
		if failure != nil {
			failure.Field = fmt.Sprintf("operations[%d].%s", i, failure.Field)
			return nil, failure
		}
		target := string(op.Kind) + "/" + op.Name
		if targets[target] {
			field := fmt.Sprintf("operations[%d].name", i)
			message := fmt.Sprintf("field %q has value %q; allowed: each resource once in a batch", field, changes[i].Name)
			return nil, invalidField(field, message)
		}
		targets[target] = true
		operations = append(operations, op)
	}
	return operations, nil
}

func newBatchResponse(operations []resource.Operation, results []resource.Result) batchResponse {
	response := batchResponse{Results: make([]batchResult, 0, len(results))}
	for i, result := range results {
		entry := batchResult{
			Kind: operations[i].Kind, Name: operations[i].Name, OperationID: result.OperationID, Outcome: result.Outcome,
		}
		entry.Error = resultError(result)
		if entry.Error == nil {
			entry.ResourceVersion = result.Version
		}
		response.Results = append(response.Results, entry)
	}
	return response
}
