// Command waxwing-load sends requests to gateways, checks the answers, and measures them.
package main

import (
	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/process"
)

const name = "waxwing-load"

func main() {
	command := &cobra.Command{Use: name, Short: "Send requests to gateways and check the answers"}
	command.AddCommand(process.VersionCommand(name))
	process.Main(command)
}
