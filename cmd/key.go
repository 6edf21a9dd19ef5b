package cmd

import (
	"context"
	"fmt"
	"net/http"

	"github.com/bergamotrun/bergamotrun/internal/admin"
)

const keyUsage = `Usage: bergamotrun key add|use|drop [flags] NUMBER

Changes the packet keys: add makes a new key valid, use selects it for new flows, drop removes a key.
Wait until a key is in force on every instance before using it, and until no flow uses it before dropping it.

Example: bergamotrun key add 2

`

func keyCommand() *command {
	return &command{name: "key", summary: "rotate packet keys", usage: keyUsage, run: runKey}
}

func runKey(ctx context.Context, inv *invocation) error {
	flags := addAPIFlags(inv.flags)
	op := ""
	if len(inv.args) > 0 {
		op = inv.args[0]
	}
	switch op {
	case "add", "use", "drop":
		inv.args = inv.args[1:]
	case "-h", "-help", "--help":
	default:
		_, _ = fmt.Fprintf(inv.stderr, "bergamotrun key: unknown action %q\n", op)
		inv.printUsage()
		return errUsage
	}
	if err := inv.parse(1, 1); err != nil {
		return err
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	result, err := callAPI[admin.KeyChangeResponse](ctx, client, http.MethodPost, "/v1/keys/"+op+"?number="+inv.flags.Arg(0), 0, flags.request())
	if err != nil {
		return err
	}
	inv.printf("%s key %d: serial %d\n", op, result.Number, result.Serial)
	return nil
}
