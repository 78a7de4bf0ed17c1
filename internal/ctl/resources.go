package ctl

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

func (a *app) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get KIND [NAME]",
		Short: "Print one resource or all resources of a kind",
		Args:  arguments(cobra.RangeArgs(1, 2)),
		RunE: func(command *cobra.Command, args []string) error {
			kind, err := kindArgument(args[0])
			if err != nil {
				return err
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			if len(args) == 2 {
				return a.getOne(command.Context(), client, kind, args[1])
			}
			return a.getAll(command.Context(), client, kind)
		},
	}
}

func (a *app) getOne(ctx context.Context, client *Client, kind resource.Kind, name string) error {
	var found object
	if err := client.call(ctx, http.MethodGet, resourcePath(kind, name), nil, &found); err != nil {
		return err
	}
	return a.print(found, func(out io.Writer) { printObject(out, found) })
}

func (a *app) getAll(ctx context.Context, client *Client, kind resource.Kind) error {
	var all objectList
	if err := client.call(ctx, http.MethodGet, "/apis/v1/"+string(kind), nil, &all); err != nil {
		return err
	}
	return a.print(all, func(out io.Writer) {
		for _, item := range all.Items {
			printObject(out, item)
		}
	})
}

func printObject(out io.Writer, o object) {
	fmt.Fprintf(out, "%s\tversion %d\t%s\n", o.Name, o.ResourceVersion, o.Spec)
}

func (a *app) deleteCommand() *cobra.Command {
	var version uint64
	command := &cobra.Command{
		Use:   "delete KIND NAME",
		Short: "Delete a resource, if it still has the version given or read",
		Args:  arguments(cobra.ExactArgs(2)),
		RunE: func(command *cobra.Command, args []string) error {
			kind, err := kindArgument(args[0])
			if err != nil {
				return err
			}
			client, err := a.client()
			if err != nil {
				return err
			}
			target := object{Kind: kind, Name: args[1], ResourceVersion: platform.Offset(version)}
			return a.delete(command.Context(), client, target)
		},
	}
	command.Flags().Uint64Var(&version, "resource-version", 0, "delete this version only; 0 reads the current version first")
	return command
}

func (a *app) delete(ctx context.Context, client *Client, target object) error {
	if target.ResourceVersion == 0 {
		if err := client.call(ctx, http.MethodGet, resourcePath(target.Kind, target.Name), nil, &target); err != nil {
			return err
		}
	}
	c := change{Kind: target.Kind, Name: target.Name, ResourceVersion: target.ResourceVersion, OperationID: ident.New(), Delete: true}
	deleted, err := writeOne(ctx, client, c)
	if err != nil {
		return err
	}
	return a.print(deleted, func(out io.Writer) {
		fmt.Fprintf(out, "%s/%s deleted at version %d\n", deleted.Kind, deleted.Name, deleted.ResourceVersion)
	})
}

// writeOne writes one change. A refused change is returned as an error.
func writeOne(ctx context.Context, client *Client, c change) (changeResult, error) {
	results, err := writeBatch(ctx, client, []change{c})
	if err != nil {
		return changeResult{}, err
	}
	if results[0].Error != nil {
		return changeResult{}, results[0].Error
	}
	return results[0], nil
}
