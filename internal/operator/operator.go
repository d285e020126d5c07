// Package operator holds the commands of the operators' command line.
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

// Command runs one command.
type Command func(ctx context.Context) error

// Formats of the output.
const (
	formatTable = "table"
	formatJSON  = "json"
)

// shell is what the commands share.
type shell struct {
	application *kingpin.Application
	output      io.Writer
	format      *string
	admin       *string
	stores      Stores
	commands    map[string]Command
}

// Register adds the commands to the application; the result maps their full
// names to what runs them.
func Register(application *kingpin.Application, output io.Writer, stores Stores) map[string]Command {
	s := &shell{application: application, output: output, stores: stores, commands: map[string]Command{}}
	s.format = application.Flag("output", "table for people, json for programs.").Short('o').Default(formatTable).Enum(formatTable, formatJSON)
	s.admin = application.Flag("admin", "Admin address of any node, IP:port.").Envar("LANDINGMAST_ADMIN").Default("127.0.0.1:8300").String()
	s.registerNodes()
	s.registerBundle()
	s.registerKeys()
	s.registerStory()
	s.registerLogs()
	s.registerHeld()
	return s.commands
}

func (s *shell) client() *adminapi.Client { return adminapi.New(*s.admin) }

// print writes a value as JSON, or hands it to the human output.
func (s *shell) print(value any, human func(*tabwriter.Writer)) error {
	if *s.format == formatJSON {
		encoder := json.NewEncoder(s.output)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(s.output, 0, 0, 2, ' ', 0)
	human(table)
	if err := table.Flush(); err != nil {
		return failure.Wrap(err, failure.Internal, "look at the terminal or the pipe", "output cannot be written")
	}
	return nil
}

func (s *shell) add(command *kingpin.CmdClause, run Command) {
	s.commands[command.FullCommand()] = run
}

func row(table io.Writer, cells ...any) {
	for index, cell := range cells {
		if index > 0 {
			fmt.Fprint(table, "\t")
		}
		fmt.Fprint(table, cell)
	}
	fmt.Fprintln(table)
}
