// Package operator implements the commands of the operators' command-line tool.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/adminapi"
)

// Command executes a parsed command.
type Command func(ctx context.Context) error

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// cli holds the state shared by all commands.
type cli struct {
	application *kingpin.Application
	output      io.Writer
	format      *string
	admin       *string
	stores      Stores
	commands    map[string]Command
}

// Register adds the commands to the application and returns them by full command name.
func Register(application *kingpin.Application, output io.Writer, stores Stores) map[string]Command {
	c := &cli{application: application, output: output, stores: stores, commands: map[string]Command{}}
	c.format = application.Flag("output", "Output format: table or json.").Short('o').Default(formatTable).Enum(formatTable, formatJSON)
	c.admin = application.Flag("admin", "Admin address of any node, IP:port.").Envar("LANDINGMAST_ADMIN").Default("127.0.0.1:8300").String()
	c.registerNodes()
	c.registerBundle()
	c.registerKeys()
	c.registerStory()
	c.registerLogs()
	c.registerHeld()
	return c.commands
}

func (c *cli) client() *adminapi.Client { return adminapi.New(*c.admin) }

// print writes value as JSON, or calls writeTable if the output format is table.
func (c *cli) print(value any, writeTable func(*tabwriter.Writer)) error {
	if *c.format == formatJSON {
		encoder := json.NewEncoder(c.output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(c.output, 0, 0, 2, ' ', 0)
	writeTable(table)
	if err := table.Flush(); err != nil {
		return failure.Wrap(err, failure.Internal, "check the terminal or the pipe", "cannot write the output")
	}
	return nil
}

func (c *cli) add(command *kingpin.CmdClause, run Command) {
	c.commands[command.FullCommand()] = run
}

// writeRow writes tab-separated cells.
func writeRow(table io.Writer, cells ...any) {
	for index, cell := range cells {
		if index > 0 {
			fmt.Fprint(table, "\t")
		}
		fmt.Fprint(table, cell)
	}
	fmt.Fprintln(table)
}
