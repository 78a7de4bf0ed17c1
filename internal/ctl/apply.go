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
	// attempts bounds how often undecided changes are sent; the pause between them gives the log time to return.
	attempts     = 5
	attemptPause = time.Second
)

// document is one resource in a file.
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
			documents, err := a.read(file)
			if err != nil {
				return err
			}
			return a.apply(command.Context(), client, documents)
		},
	}
	command.Flags().StringVarP(&file, "filename", "f", "", "file, directory, or - for standard input")
	return command
}

func (a *app) read(file string) ([]document, error) {
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
	changes, err := conditional(ctx, client, documents)
	if err != nil {
		return err
	}
	verdicts := make([]verdict, 0, len(changes))
	for first := 0; first < len(changes); first += batchOperations {
		part := changes[first:min(len(changes), first+batchOperations)]
		decided, err := writeBatch(ctx, client, part)
		if err != nil {
			return err
		}
		verdicts = append(verdicts, decided...)
	}
	if err := a.print(verdicts, func(out io.Writer) { printVerdicts(out, verdicts) }); err != nil {
		return err
	}
	return summary(verdicts)
}

// conditional gives each document the version that it is written against. A kind is listed once when several of its
// documents need their current versions.
func conditional(ctx context.Context, client *Client, documents []document) ([]change, error) {
	current := map[resource.Kind]map[string]platform.Offset{}
	changes := make([]change, 0, len(documents))
	for _, d := range documents {
		if !d.Kind.Known() {
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

// writeBatch sends changes and sends the undecided ones again, at another server, under their operation IDs.
func writeBatch(ctx context.Context, client *Client, changes []change) ([]verdict, error) {
	verdicts := make([]verdict, len(changes))
	open := make([]int, len(changes))
	for i := range changes {
		open[i] = i
	}
	client.doubtful = false
	for attempt := 1; ; attempt++ {
		undecided, err := sendOpen(ctx, client, changes, open, verdicts)
		last := attempt == attempts || ctx.Err() != nil
		if err != nil && (last || !repeatable(err)) {
			if client.doubtful {
				err = fmt.Errorf("the changes may have been written, read them before a repeat: %w", err)
			}
			return nil, err
		}
		if err == nil {
			open = undecided
		}
		if len(open) == 0 || last {
			doubt(client, verdicts)
			return verdicts, nil
		}
		client.next()
		delay.For(ctx, attemptPause)
	}
}

// doubt turns "not written" into "unknown" when an earlier attempt may have been written: each answer speaks of its
// own request only.
func doubt(client *Client, verdicts []verdict) {
	for _, v := range verdicts {
		if v.Error != nil && v.Error.Code == codeNotWritten && client.doubtful {
			v.Error.Code = codeUnknown
			v.Error.Message = "an earlier attempt may have been written"
		}
	}
}

// repeatable reports whether a batch that failed as a whole may be sent again.
func repeatable(err error) bool {
	var refusal *APIError
	return !errors.As(err, &refusal) || refusal.elsewhere()
}

func sendOpen(ctx context.Context, client *Client, changes []change, open []int, verdicts []verdict) ([]int, error) {
	request := struct {
		Operations []change `json:"operations"`
	}{}
	for _, i := range open {
		request.Operations = append(request.Operations, changes[i])
	}
	var answer struct {
		Results []verdict `json:"results"`
	}
	if err := client.call(ctx, "POST", "/apis/v1/batch", request, &answer); err != nil {
		return nil, err
	}
	if len(answer.Results) != len(open) {
		return nil, fmt.Errorf("the API server answered %d results for %d operations", len(answer.Results), len(open))
	}
	var undecided []int
	for at, i := range open {
		verdicts[i] = answer.Results[at]
		if failure := verdicts[i].Error; failure != nil && failure.elsewhere() {
			undecided = append(undecided, i)
			client.doubtful = client.doubtful || failure.Code == codeUnknown
		}
	}
	return undecided, nil
}

func printVerdicts(out io.Writer, verdicts []verdict) {
	for _, v := range verdicts {
		if v.Error != nil {
			fmt.Fprintf(out, "%s/%s refused: %s\n", v.Kind, v.Name, v.Error)
			continue
		}
		fmt.Fprintf(out, "%s/%s applied at version %d\n", v.Kind, v.Name, v.ResourceVersion)
	}
}

func summary(verdicts []verdict) error {
	failed, conflicts := 0, 0
	for _, v := range verdicts {
		if v.Error == nil {
			continue
		}
		failed++
		if v.Error.Code == codeConflict {
			conflicts++
		}
	}
	switch {
	case failed == 0:
		return nil
	case failed == conflicts:
		return fmt.Errorf("%d of %d resources not applied: %w", failed, len(verdicts), errConflict)
	}
	return fmt.Errorf("%d of %d resources not applied", failed, len(verdicts))
}
