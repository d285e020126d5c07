package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/reference"
)

func registerReference(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("reference", "Write docs/CONFIGURATION.md out of the structs' comments.")
	return command.FullCommand(), func(context.Context) error {
		page, err := reference.Page(".")
		if err != nil {
			return err
		}
		return os.WriteFile("docs/CONFIGURATION.md", []byte(page), 0o644)
	}
}
