// Command resumed searches seeds of the model of resumed streams for those in which resumed streams
// go on less often than new ones begin.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"goldcrestport/bench/resumed"
)

func main() {
	if command().Execute() != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var s resumed.Search
	var troubles []string
	cmd := &cobra.Command{
		Use: "resumed", Short: "Search the model for resumed streams that do not go on",
		Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			for _, one := range troubles {
				s.Troubles = append(s.Troubles, resumed.Trouble(one))
			}
			fmt.Print(s.Run().Report())
			return nil
		},
	}
	f := cmd.Flags()
	f.IntSliceVar(&s.Routers, "routers", []int{3, 5, 12}, "sizes of the fleet")
	f.Uint64Var(&s.From, "from", 1, "first seed")
	f.IntVar(&s.Seeds, "seeds", 100, "seeds of each size")
	f.IntVar(&s.Together, "together", 2, "plays at once")
	f.IntVar(&s.Worst, "worst", 10, "plays that are printed, the worst first")
	f.BoolVar(&s.Again, "again", false, "callers follow a Retry-After of a refused resumed request once")
	f.StringArrayVar(&troubles, "trouble", nil, "troubles of each play, in place of two by the seed")
	f.BoolVar(&s.Mends.NoHandover, "no-handover", false, "a router that is stopped hands no origins over")
	f.BoolVar(&s.Mends.NoJournal, "no-journal", false, "origins are not written to the store")
	f.DurationVar(&s.Mends.JournalInterval, "journal-interval", 0, "time between two writes of origins by a router; 0: as the product has it")
	f.BoolVar(&s.Mends.ReadStore, "read-store", false, "the store is read for a stream that nobody knows")
	f.DurationVar(&s.Mends.AskLimit, "ask-limit", 0, "how long answers are awaited; 0: as the product does")
	f.DurationVar(&s.Mends.ResumeWait, "resume-wait", 0, "wait limit of resumed requests; 0: as the product has it")
	f.BoolVar(&s.Mends.DoubtsEnd, "doubts-end", false, "doubts may end after the stream")
	f.BoolVar(&s.Mends.ComeBack, "come-back", false, "streams of uncertain origin are refused with a Retry-After")
	return cmd
}
