// Command landingmast-lab runs the fake services, load generator, emulator and
// experiments used to test landingmast.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
)

func main() {
	application := kingpin.New("landingmast-lab", "Fake services, load generator, emulator and experiments for testing landingmast.")
	application.HelpFlag.Short('h')
	commands := map[string]func(context.Context) error{}
	for _, register := range []func(*kingpin.Application) (string, func(context.Context) error){
		registerPlatform, registerBackends, registerDemo, registerExperiments, registerEmulate, registerFaults, registerBench, registerExamples, registerReference,
	} {
		name, run := register(application)
		commands[name] = run
	}
	selected := kingpin.MustParse(application.Parse(os.Args[1:]))
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := commands[selected](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "landingmast-lab:", err)
		os.Exit(1)
	}
}

func registerPlatform(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("platform", "Run a fake of the platform's key-value service.")
	listen := command.Flag("listen", "Listen address, IP:port.").Required().String()
	return command.FullCommand(), func(ctx context.Context) error {
		return serve(ctx, map[string]http.Handler{*listen: standin.NewPlatform().Handler()})
	}
}

func registerBackends(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("backends", "Run fake backends.")
	mesh := command.Flag("deployment", "Deployment: core-archive or expense-claims.").Required().String()
	backends := command.Flag("backend", "Backend as NODE=ADDRESS=EGRESS; may be repeated.").Required().Strings()
	return command.FullCommand(), func(ctx context.Context) error {
		handlers, err := backendHandlers(*mesh, *backends)
		if err != nil {
			return err
		}
		return serve(ctx, handlers)
	}
}

func backendHandlers(mesh string, backends []string) (map[string]http.Handler, error) {
	meshDeployment, err := deployment.ByName(mesh)
	if err != nil {
		return nil, err
	}
	handlers := map[string]http.Handler{}
	for _, spec := range backends {
		parts := strings.Split(spec, "=")
		if len(parts) != 3 {
			return nil, fmt.Errorf("invalid --backend %q (remedy: write NODE=ADDRESS=EGRESS)", spec)
		}
		dash := strings.LastIndexByte(parts[0], '-')
		var index int
		if _, err := fmt.Sscanf(parts[0][dash+1:], "%d", &index); err != nil {
			return nil, fmt.Errorf("--backend %q has no target number (remedy: write SERVICE-NUMBER)", parts[0])
		}
		service := meshDeployment.Service(parts[0][:dash])
		if service == nil {
			return nil, fmt.Errorf("--backend %q does not name a service of %s (remedy: use one of its services)", parts[0], mesh)
		}
		handlers[parts[1]] = standin.NewBackend(parts[0], service, service.Slots(index-1), parts[2])
	}
	return handlers, nil
}

// serve serves every handler at its address until ctx is cancelled or a server
// fails.
func serve(ctx context.Context, handlers map[string]http.Handler) error {
	serveErrors := make(chan error, len(handlers))
	for address, handler := range handlers {
		server := &http.Server{Addr: address, Handler: handler}
		go func() { serveErrors <- server.ListenAndServe() }()
		defer server.Close()
	}
	select {
	case <-ctx.Done():
		return nil
	case err := <-serveErrors:
		return err
	}
}
