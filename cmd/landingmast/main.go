// Command landingmast is the command line client for operators.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/node"
	"github.com/landingmast/landingmast/internal/operator"
	"github.com/landingmast/landingmast/internal/store"
	"github.com/landingmast/landingmast/platform"
)

// exitCodes maps error kinds to exit codes; see docs/OPERATIONS.md.
var exitCodes = map[failure.Kind]int{
	failure.Internal:    1,
	failure.BadInput:    2,
	failure.Conflict:    3,
	failure.Unavailable: 4,
	failure.RateLimited: 4,
	failure.Uncertain:   5,
	failure.Untrusted:   6,
	failure.NotFound:    7,
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(arguments []string, stdout, stderr io.Writer) int {
	application := kingpin.New("landingmast", "Command line client for operators of landingmast.")
	application.Version(node.Version)
	application.HelpFlag.Short('h')
	commands := operator.Register(application, stdout, operator.Stores{
		Open: func(address string) store.Store { return platform.NewStore(address, nil) }, CrashKey: platform.CrashesKey, Input: os.Stdin,
	})
	selected, err := application.Parse(arguments)
	if err != nil {
		fmt.Fprintf(stderr, "landingmast: %s (remedy: see landingmast --help)\n", err)
		return exitCodes[failure.BadInput]
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := commands[selected](ctx); err != nil {
		fmt.Fprintln(stderr, "landingmast:", err)
		return exitCodes[failure.KindOf(err)]
	}
	return 0
}
