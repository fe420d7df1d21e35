// Command goldcrestctl is the operators' client of goldcrestport.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	return &cobra.Command{
		Use:           "goldcrestctl",
		Short:         "Plan and confirm configurations, see status, drain",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
}
