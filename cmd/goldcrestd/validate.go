package main

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"goldcrestport/protocol/settings"
)

// Roles of a process, each with its own settings.
const (
	roleRouter  = "router"
	roleSidecar = "sidecar"
	roleDirect  = "direct"
)

// validateCommand returns the command that checks a settings file without starting a
// process.
func validateCommand() *cobra.Command {
	var role, file string
	cmd := &cobra.Command{
		Use:   "validate",
		Short: "Check a settings file without starting",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			into, err := defaultSettings(role)
			if err != nil {
				return err
			}
			if err := settings.Load(file, into); err != nil {
				return err
			}
			cmd.Printf("settings %s: correct for a %s\n", file, role)
			return nil
		},
	}
	cmd.Flags().StringVar(&role, "role", "", "router, sidecar or direct")
	_ = cmd.MarkFlagRequired("role")
	settingsFlag(cmd, &file)
	return cmd
}

// defaultSettings returns the default settings of a role.
func defaultSettings(role string) (settings.Settings, error) {
	switch role {
	case roleRouter:
		set := settings.DefaultRouter()
		return &set, nil
	case roleSidecar:
		set := settings.DefaultSidecar()
		return &set, nil
	case roleDirect:
		set := settings.DefaultDirect()
		return &set, nil
	default:
		return nil, errors.Newf("role %q: want router, sidecar or direct", role)
	}
}
