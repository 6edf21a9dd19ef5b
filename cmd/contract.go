package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/internal/admin"
	"github.com/bergamotrun/bergamotrun/internal/journ"
	"github.com/bergamotrun/bergamotrun/internal/roster"
	"github.com/bergamotrun/bergamotrun/internal/sett"
	"github.com/bergamotrun/bergamotrun/pkg/contr"
)

const contractUsage = `Usage: bergamotrun contract ACTION [flags] [NAME]

Creates, shows, changes and retires contracts by the API of any entry.

  create -file FILE               create the contract in FILE
  show NAME                       show a contract with its serial
  list                            list all contracts
  update -file FILE -match SERIAL change a contract that has this serial
  retire -match SERIAL NAME       end a service
  history NAME                    list all changes of a contract
  status NAME                     tell where which serial is in force

Example: bergamotrun contract create -file order-desk.toml -why "new service"

`

func contractCommand() *command {
	return &command{name: "contract", summary: "create, show, change and retire contracts", usage: contractUsage, run: runContract}
}

// contractCall is one call of the contract command.
type contractCall struct {
	inv    *invocation
	flags  apiFlags
	client *apiClient
	file   string
	match  uint64
	name   string
}

// contractActions maps the actions to what they do, and whether they take a name.
var contractActions = map[string]struct {
	run   func(ctx context.Context, c *contractCall) error
	named bool
}{
	"create":  {run: createContract},
	"show":    {run: showContract, named: true},
	"list":    {run: listContracts},
	"update":  {run: updateContract},
	"retire":  {run: retireContract, named: true},
	"history": {run: showHistory, named: true},
	"status":  {run: showStatus, named: true},
}

func runContract(ctx context.Context, inv *invocation) error {
	c := &contractCall{inv: inv, flags: addAPIFlags(inv.flags)}
	inv.flags.StringVar(&c.file, "file", "", "`file` with the contract, in TOML")
	inv.flags.Uint64Var(&c.match, "match", 0, "`serial` that the change was made from")
	var action string
	if len(inv.args) > 0 {
		action = inv.args[0]
	}
	known, ok := contractActions[action]
	if !ok && !slices.Contains([]string{"-h", "-help", "--help"}, action) {
		_, _ = fmt.Fprintf(inv.stderr, "bergamotrun contract: unknown action %q\n", action)
		inv.printUsage()
		return errUsage
	}
	if ok {
		inv.args = inv.args[1:]
	}
	names := 0
	if known.named {
		names = 1
	}
	if err := inv.parse(names, names); err != nil {
		return err
	}
	c.name = inv.flags.Arg(0)
	var err error
	if c.client, err = c.flags.client(); err != nil {
		return err
	}
	return known.run(ctx, c)
}

// read reads the contract in the file.
func (c *contractCall) read() (contr.Contract, error) {
	var contract contr.Contract
	if c.file == "" {
		return contract, errors.New("-file is missing")
	}
	text, err := os.ReadFile(c.file)
	if err != nil {
		return contract, errors.Wrap(err, "-file")
	}
	if err := sett.Decode(c.file, text, &contract); err != nil {
		return contract, err
	}
	contract = contract.WithDefaults()
	return contract, errors.Wrap(contract.Validate(), c.file)
}

func createContract(ctx context.Context, c *contractCall) error {
	contract, err := c.read()
	if err != nil {
		return err
	}
	req := c.flags.request()
	req.Contract = &contract
	return c.change(ctx, http.MethodPost, "/v1/contracts", req)
}

func updateContract(ctx context.Context, c *contractCall) error {
	contract, err := c.read()
	if err != nil {
		return err
	}
	req := c.flags.request()
	req.Contract = &contract
	return c.change(ctx, http.MethodPut, "/v1/contracts/"+contract.Name, req)
}

func retireContract(ctx context.Context, c *contractCall) error {
	return c.change(ctx, http.MethodDelete, "/v1/contracts/"+c.name, c.flags.request())
}

func (c *contractCall) change(ctx context.Context, method, path string, req admin.ChangeRequest) error {
	answer, err := call[admin.ChangeResponse](ctx, c.client, method, path, c.match, req)
	if err != nil {
		return errors.Wrapf(err, "change %s", req.ID)
	}
	c.inv.printf("%s %s: serial %d, change %s\n", answer.Applied.Change.Op, answer.Applied.Change.Name, answer.Applied.Position, req.ID)
	return nil
}

func showContract(ctx context.Context, c *contractCall) error {
	r, err := call[contr.Record](ctx, c.client, http.MethodGet, "/v1/contracts/"+c.name, 0, nil)
	if err != nil {
		return err
	}
	k := &r.Contract
	w := tabwriter.NewWriter(c.inv.stdout, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"name", k.Name}, {"serial", r.Serial}, {"number", r.Number}, {"retired", r.Retired}, {"member", k.Member},
		{"address", k.Address}, {"share", k.Share}, {"slots", k.Slots}, {"connections", k.Connections}, {"queue", k.Queue},
		{"deadline", k.Deadline.Std()}, {"tickets", k.Tickets}, {"idempotent", k.Idempotent}, {"streams", k.Streams}, {"drain", k.Drain.Std()},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	return w.Flush()
}

func listContracts(ctx context.Context, c *contractCall) error {
	records, err := call[[]contr.Record](ctx, c.client, http.MethodGet, "/v1/contracts", 0, nil)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "NAME\tMEMBER\tADDRESS\tSHARE\tSERIAL\tRETIRED")
	for i := range records {
		r := &records[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%v\n", r.Contract.Name, r.Contract.Member, r.Contract.Address, r.Contract.Share, r.Serial, r.Retired)
	}
	return w.Flush()
}

func showHistory(ctx context.Context, c *contractCall) error {
	entries, err := call[[]journ.Entry](ctx, c.client, http.MethodGet, "/v1/contracts/"+c.name+"/history", 0, nil)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(c.inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERIAL\tWHEN\tWHO\tCHANGE\tWHY")
	for i := range entries {
		e := &entries[i]
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Position, e.Change.When.Format(time.RFC3339), e.Change.Who, e.Change.Op, e.Change.Why)
	}
	return w.Flush()
}

func showStatus(ctx context.Context, c *contractCall) error {
	status, err := call[roster.Status](ctx, c.client, http.MethodGet, "/v1/contracts/"+c.name+"/status", 0, nil)
	if err != nil {
		return err
	}
	type group struct {
		role   string
		serial uint64
	}
	counts := make(map[group]int)
	for _, i := range status.Instances {
		counts[group{i.Role, i.Serial}]++
	}
	w := tabwriter.NewWriter(c.inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ROLE\tSERIAL\tINSTANCES")
	for _, role := range []string{"entry", "agent"} {
		var serials []uint64
		for g := range counts {
			if g.role == role {
				serials = append(serials, g.serial)
			}
		}
		slices.Sort(serials)
		for _, s := range serials {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", role, s, counts[group{role, s}])
		}
	}
	for _, s := range status.Unresponsive {
		_, _ = fmt.Fprintf(w, "entry %s\tno answer\t\n", s)
	}
	return w.Flush()
}
