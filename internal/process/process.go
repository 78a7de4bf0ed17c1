// Package process provides what all server binaries have in common: the command line, signal handling, and the admin
// endpoint.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// Timeouts of HTTP servers.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	// headerBytes bounds the head of a request.
	headerBytes = 32 << 10
)

// Main runs the command and exits with status 0 on success, settings.InvalidSettingsExitCode if the settings or flags
// are invalid, and 1 on any other error.
func Main(command *cobra.Command) {
	command.SilenceErrors = true
	command.SilenceUsage = true
	err := command.Execute()
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	var refused *UsageError
	if errors.As(err, &refused) {
		os.Exit(settings.InvalidSettingsExitCode)
	}
	os.Exit(1)
}

// UsageError indicates that the settings or flags are invalid. It occurs before the process listens.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *UsageError) Unwrap() error { return e.Err }

// RunFunc is the main function of a server process. It returns after ctx ends and the graceful shutdown is complete.
type RunFunc func(ctx context.Context) error

// ServerCommand returns the command of a server process with the flags --settings and --check and the subcommand
// "version". It loads and checks the settings, then calls run with a context that ends on SIGTERM or SIGINT.
func ServerCommand(name, short string, target settings.Checker, run RunFunc) *cobra.Command {
	var file string
	var checkOnly bool
	command := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := settings.Load(file, target); err != nil {
				return &UsageError{Err: err}
			}
			if checkOnly {
				fmt.Printf("%s: settings are valid\n", file)
				return nil
			}
			setGCTarget()
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return run(ctx)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "path of the JSON settings file")
	command.Flags().BoolVar(&checkOnly, "check", false, "validate the settings and exit")
	_ = command.MarkFlagRequired("settings")
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return &UsageError{Err: err} })
	command.AddCommand(VersionCommand(name))
	return command
}

// defaultGCPercent is the garbage collection target, as in GOGC. With Go's default of 100 the three idle processes of a
// VM with 3,000 adapters used 67.9 MiB in total, above the 64 MB limit of a node; with 50 they used 59.9 MiB.
const defaultGCPercent = 50

// setGCTarget sets the garbage collection target unless GOGC is set in the environment.
func setGCTarget() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(defaultGCPercent)
	}
}

// VersionCommand returns the subcommand "version".
func VersionCommand(name string) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(*cobra.Command, []string) { fmt.Println(name, Version()) },
	}
}

// Version returns the VCS revision of the build, or the module version if there is none.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return info.Main.Version
}

// Logger returns a process's log, which writes to standard output.
func Logger(name string, common settings.Common) *event.Log {
	return event.NewLog(os.Stdout, levelOf(common.LogLevel), fieldsOf(name, common.Node))
}

// BoundedLogger returns a log that writes to w and limits the number of lines per event.
func BoundedLogger(w io.Writer, name string, node settings.Node, level string) *event.Log {
	return event.NewBoundedLog(w, levelOf(level), fieldsOf(name, node))
}

// levelOf returns the log level with the given name, or the info level if the name is invalid.
func levelOf(name string) logrus.Level {
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

// fieldsOf returns the fields that every log line of a process contains.
func fieldsOf(name string, node settings.Node) event.Fields {
	return event.Fields{"process": name, "node": node.Name, "zone": node.Zone}
}

// ReadinessCheck returns nil if the process can serve requests, and otherwise an error with the reason.
type ReadinessCheck func() error

// Admin is the admin endpoint. Its Mux serves /healthz, /readyz and /metrics; other handlers may be added before Mux is
// served.
type Admin struct {
	Mux *http.ServeMux
}

// NewAdmin returns an admin endpoint whose /readyz reports the result of ready.
func NewAdmin(ready ReadinessCheck) *Admin {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(metrics.DefaultRegistry, w)
	})
	return &Admin{Mux: mux}
}

// DefaultConnections bounds the connections of a listener that serves operators, monitoring and other processes of the site.
const DefaultConnections = 1024

// ServeLimited serves HTTP on a listener until ctx ends. Then it waits up to the duration shutdown for the requests in progress.
func ServeLimited(
	ctx context.Context, listener net.Listener, handler http.Handler, shutdown time.Duration, limits connset.Options,
) error {
	connections := connset.New(limits)
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
	}
	connections.Attach(server)
	// net/http waits for connections on which no request has come yet, and may close others just as one comes.
	server.RegisterOnShutdown(func() {
		connections.Drain()
		connections.CloseIdle()
	})
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		err := server.Serve(connections.Listener(listener))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-groupCtx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdown)
		defer cancel()
		return server.Shutdown(shutdownCtx)
	})
	return group.Wait()
}
