package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/landingmast/landingmast/internal/logquery"
)

const mostRows = 20

// registerStory registers `landingmast story`: one request over several logs.
func (s *shell) registerStory() {
	command := s.application.Command("story", "Tell what sidecar nodes decided about one request, from their log files.")
	id := command.Arg("request", "Id of the request, as its client sent it.").Required().String()
	paths := command.Flag("logs", "Log files or folders; several times.").Required().Strings()
	s.add(command, func(context.Context) error {
		lines, _, err := logquery.Read(*paths)
		if err != nil {
			return err
		}
		return logquery.Story(s.output, lines, *id)
	})
}

// registerLogs registers `landingmast logs`: the usual questions over log files.
func (s *shell) registerLogs() {
	command := s.application.Command("logs", "Answer the usual questions over log files of sidecar nodes.")
	question := command.Arg("question", "lost, refused, slowest, versions or omitted.").Required().Enum("lost", "refused", "slowest", "versions", "omitted")
	paths := command.Flag("logs", "Log files or folders; several times.").Required().Strings()
	s.add(command, func(context.Context) error {
		lines, unread, err := logquery.Read(*paths)
		if err != nil {
			return err
		}
		switch *question {
		case "lost":
			losses := logquery.Lost(lines)
			counts(s.output, logquery.LostByCause(losses))
			printRows(s.output, logquery.LostBySecond(losses))
		case "refused":
			counts(s.output, logquery.Refused(lines))
		case "omitted":
			counts(s.output, logquery.Omitted(lines))
		case "versions":
			printRows(s.output, logquery.Versions(lines))
		case "slowest":
			printRows(s.output, logquery.Slowest(lines, mostRows))
		}
		_, err = fmt.Fprintf(s.output, "%d lines read, %d passed over\n", len(lines), unread)
		return err
	})
}

func counts(output io.Writer, counted []logquery.Count) {
	for _, row := range counted {
		_, _ = fmt.Fprintf(output, "%7d %s\n", row.Lines, row.What)
	}
}

func printRows(output io.Writer, texts []string) {
	for _, text := range texts {
		_, _ = fmt.Fprintln(output, text)
	}
}
