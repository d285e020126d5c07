package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/mesh/lab/deployment"
	"github.com/landingmast/landingmast/internal/mesh/lab/scaffold"
)

func registerExamples(application *kingpin.Application) (string, func(context.Context) error) {
	command := application.Command("examples", "Write the example bundles and settings of both deployments.")
	directory := command.Flag("directory", "Output directory.").Default("examples").String()
	return command.FullCommand(), func(context.Context) error {
		for _, mesh := range []*deployment.Deployment{deployment.CoreArchive(), deployment.ExpenseClaims()} {
			files, err := scaffold.Examples(mesh)
			if err != nil {
				return err
			}
			for path, data := range files {
				target := filepath.Join(*directory, path)
				if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
					return err
				}
				if err := os.WriteFile(target, data, 0o644); err != nil {
					return err
				}
			}
			fmt.Println(mesh.Mesh, len(files), "files")
		}
		return nil
	}
}
