package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

const (
	// batchOperations keeps one request far below the API server's default limits.
	batchOperations = 1000
	// maximumAttempts bounds how often undecided changes are sent. The pause between attempts gives the log service time
	// to recover.
	maximumAttempts = 5
	attemptPause    = time.Second
)

// document is one resource in an input file.
type document struct {
	Kind resource.Kind `json:"kind"`
	Name string        `json:"name"`
	// ResourceVersion makes the write conditional on a version; without it the current version is read first.
	ResourceVersion *platform.Offset `json:"resourceVersion"`
	Spec            json.RawMessage  `json:"spec"`
}

func (a *app) applyCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "apply -f FILE",
		Short: "Create or change the resources in a file, in the *.json files of a directory, or on standard input (-)",
		Args:  arguments(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if file == "" {
				return usage("flag --filename is missing")
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			documents, err := a.readDocuments(file)
			if err != nil {
				return err
			}
			return a.apply(command.Context(), client, documents)
		},
	}
	command.Flags().StringVarP(&file, "filename", "f", "", "file, directory, or - for standard input")
	return command
}

// readDocuments reads the resources of a file, a directory or standard input.
func (a *app) readDocuments(file string) ([]document, error) {
	if file == "-" {
		return decodeDocuments("standard input", a.streams.In)
	}
	info, err := os.Stat(file)
	if err != nil {
		return nil, err
	}
	files := []string{file}
	if info.IsDir() {
		if files, err = filepath.Glob(filepath.Join(file, "*.json")); err != nil {
			return nil, err
		}
	}
	var documents []document
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		found, err := decodeDocuments(name, bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		documents = append(documents, found...)
	}
	return documents, nil
}

// decodeDocuments reads JSON documents one after the other; each is a resource or an array of resources.
func decodeDocuments(file string, in io.Reader) ([]document, error) {
	var documents []document
	decoder := json.NewDecoder(in)
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		var found []document
		if raw[0] == '[' {
			err = resource.DecodeStrict(raw, &found)
		} else {
			found = make([]document, 1)
			err = resource.DecodeStrict(raw, &found[0])
		}
		if err != nil {
			return nil, fmt.Errorf("%s: document after %d resources: %w", file, len(documents), err)
		}
		documents = append(documents, found...)
	}
}

func (a *app) apply(ctx context.Context, client *Client, documents []document) error {
	if len(documents) == 0 {
		return errors.New("no resources to apply")
	}
	changes, err := conditionalChanges(ctx, client, documents)
	if err != nil {
		return err
	}
	results := make([]changeResult, 0, len(changes))
	for first := 0; first < len(changes); first += batchOperations {
		part := changes[first:min(len(changes), first+batchOperations)]
		written, err := writeBatch(ctx, client, part)
		if err != nil {
			return err
		}
		results = append(results, written...)
	}
	if err := a.print(results, func(out io.Writer) { printResults(out, results) }); err != nil {
		return err
	}
	return failureSummary(results)
}

// conditionalChanges converts documents to changes, each conditional on the version given or on the current one. Unless
// there is a single document, the current versions of a kind are read in one list request.
func conditionalChanges(ctx context.Context, client *Client, documents []document) ([]change, error) {
	current := map[resource.Kind]map[string]platform.Offset{}
	changes := make([]change, 0, len(documents))
	for _, d := range documents {
		if !d.Kind.Valid() {
			return nil, fmt.Errorf("%s: field \"kind\" has value %q; allowed: %v", d.Name, d.Kind, resource.Kinds())
		}
		c := change{Kind: d.Kind, Name: d.Name, OperationID: ident.New(), Spec: d.Spec}
		if d.ResourceVersion != nil {
			c.ResourceVersion = *d.ResourceVersion
			changes = append(changes, c)
			continue
		}
		if current[d.Kind] == nil {
			versions, err := currentVersions(ctx, client, d, len(documents) == 1)
			if err != nil {
				return nil, err
			}
			current[d.Kind] = versions
		}
		c.ResourceVersion = current[d.Kind][d.Name]
		changes = append(changes, c)
	}
	return changes, nil
}

// currentVersions reads the versions of the resources of d's kind, or only that of d. Resources that don't exist are
// absent or have version 0.
func currentVersions(ctx context.Context, client *Client, d document, single bool) (map[string]platform.Offset, error) {
	if single {
		var found object
		err := client.call(ctx, "GET", resourcePath(d.Kind, d.Name), nil, &found)
		var refusal *APIError
		if errors.As(err, &refusal) && refusal.Code == codeNotFound {
			err = nil
		}
		return map[string]platform.Offset{d.Name: found.ResourceVersion}, err
	}
	var all objectList
	if err := client.call(ctx, "GET", "/apis/v1/"+string(d.Kind), nil, &all); err != nil {
		return nil, err
	}
	versions := make(map[string]platform.Offset, len(all.Items))
	for _, item := range all.Items {
		versions[item.Name] = item.ResourceVersion
	}
	return versions, nil
}

// writeBatch sends changes and retries the undecided ones at another server, with the same operation IDs.
func writeBatch(ctx context.Context, client *Client, changes []change) ([]changeResult, error) {
	results := make([]changeResult, len(changes))
	pending := make([]int, len(changes))
	for i := range changes {
		pending[i] = i
	}
	client.mayHaveWritten = false
	for attempt := 1; ; attempt++ {
		undecided, err := sendPending(ctx, client, changes, pending, results)
		last := attempt == maximumAttempts || ctx.Err() != nil
		if err != nil && (last || !retryable(err)) {
			if client.mayHaveWritten {
				err = fmt.Errorf("the changes may have been written, read them before a retry: %w", err)
			}
			return nil, err
		}
		if err == nil {
			pending = undecided
		}
		if len(pending) == 0 || last {
			markUncertain(client, results)
			return results, nil
		}
		client.next()
		delay.For(ctx, attemptPause)
	}
}

// markUncertain turns "not written" into "unknown" when an earlier attempt may have been written, because each answer
// refers to its own request only.
func markUncertain(client *Client, results []changeResult) {
	for _, result := range results {
		if result.Error != nil && result.Error.Code == codeNotWritten && client.mayHaveWritten {
			result.Error.Code = codeUnknown
			result.Error.Message = "an earlier attempt may have been written"
		}
	}
}

// retryable reports whether a batch may be sent again after its request failed.
func retryable(err error) bool {
	var refusal *APIError
	return !errors.As(err, &refusal) || refusal.retryElsewhere()
}

// sendPending sends the changes with the indexes in pending, stores their results, and returns the indexes of the
// undecided ones.
func sendPending(
	ctx context.Context, client *Client, changes []change, pending []int, results []changeResult,
) ([]int, error) {
	request := struct {
		Operations []change `json:"operations"`
	}{}
	for _, i := range pending {
		request.Operations = append(request.Operations, changes[i])
	}
	var answer struct {
		Results []changeResult `json:"results"`
	}
	if err := client.call(ctx, "POST", "/apis/v1/batch", request, &answer); err != nil {
		return nil, err
	}
	if len(answer.Results) != len(pending) {
		return nil, fmt.Errorf("the API server answered %d results for %d operations", len(answer.Results), len(pending))
	}
	var undecided []int
	for position, i := range pending {
		results[i] = answer.Results[position]
		if failure := results[i].Error; failure != nil && failure.retryElsewhere() {
			undecided = append(undecided, i)
			client.mayHaveWritten = client.mayHaveWritten || failure.Code == codeUnknown
		}
	}
	return undecided, nil
}

func printResults(out io.Writer, results []changeResult) {
	for _, result := range results {
		if result.Error != nil {
			fmt.Fprintf(out, "%s/%s refused: %s\n", result.Kind, result.Name, result.Error)
			continue
		}
		fmt.Fprintf(out, "%s/%s applied at version %d\n", result.Kind, result.Name, result.ResourceVersion)
	}
}

// failureSummary returns an error with the number of failed changes, or nil when none failed.
func failureSummary(results []changeResult) error {
	failed, conflicts := 0, 0
	for _, result := range results {
		if result.Error == nil {
			continue
		}
		failed++
		if result.Error.Code == codeConflict {
			conflicts++
		}
	}
	switch {
	case failed == 0:
		return nil
	case failed == conflicts:
		return fmt.Errorf("%d of %d resources not applied: %w", failed, len(results), errConflict)
	}
	return fmt.Errorf("%d of %d resources not applied", failed, len(results))
}
