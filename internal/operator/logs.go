package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/landingmast/landingmast/internal/logquery"
)

// slowestRows is the number of runs listed by `logs slowest`.
const slowestRows = 20

// registerStory registers `landingmast story`, which traces a request across nodes.
func (c *cli) registerStory() {
	command := c.application.Command("story", "Trace a request across sidecar nodes from their log files.")
	id := command.Arg("request", "Request ID as sent by the client.").Required().String()
	paths := command.Flag("logs", "Log file or directory; repeatable.").Required().Strings()
	c.add(command, func(context.Context) error {
		lines, _, err := logquery.Read(*paths)
		if err != nil {
			return err
		}
		return logquery.WriteTrace(c.output, lines, *id)
	})
}

// registerLogs registers `landingmast logs`, which summarizes log files.
func (c *cli) registerLogs() {
	command := c.application.Command("logs", "Summarize log files of sidecar nodes.")
	summary := command.Arg("question", "Summary to print: lost, refused, slowest, versions, omitted or room.").Required().Enum("lost", "refused", "slowest", "versions", "omitted", "room")
	paths := command.Flag("logs", "Log file or directory; repeatable.").Required().Strings()
	c.add(command, func(context.Context) error {
		lines, skipped, err := logquery.Read(*paths)
		if err != nil {
			return err
		}
		if *summary == "room" {
			return c.printRoom(logquery.Room(lines), len(lines), skipped)
		}
		switch *summary {
		case "lost":
			losses := logquery.Lost(lines)
			printCounts(c.output, logquery.LostByCause(losses))
			printRows(c.output, logquery.LostBySecond(losses))
		case "refused":
			printCounts(c.output, logquery.Refused(lines))
		case "omitted":
			printCounts(c.output, logquery.Omitted(lines))
		case "versions":
			printRows(c.output, logquery.Versions(lines))
		case "slowest":
			printRows(c.output, logquery.Slowest(lines, slowestRows))
		}
		_, err = fmt.Fprintf(c.output, "%d lines read, %d skipped\n", len(lines), skipped)
		return err
	})
}

func printCounts(output io.Writer, counts []logquery.Count) {
	for _, row := range counts {
		_, _ = fmt.Fprintf(output, "%7d %s\n", row.Lines, row.Label)
	}
}

func printRows(output io.Writer, rows []string) {
	for _, row := range rows {
		_, _ = fmt.Fprintln(output, row)
	}
}
