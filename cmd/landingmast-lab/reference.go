package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/reference"
	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
)

func registerReference(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("reference", "Write docs/CONFIGURATION.md and docs/LOGS.md from the source.")
	return command.FullCommand(), func(context.Context) error {
		page, err := reference.Page(".")
		if err != nil {
			return err
		}
		if err := os.WriteFile("docs/CONFIGURATION.md", []byte(page), 0o644); err != nil {
			return err
		}
		return os.WriteFile("docs/LOGS.md", []byte(eventlog.Reference()), 0o644)
	}
}
