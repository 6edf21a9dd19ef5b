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

Manages contracts through the API of any entry.

  create -file FILE               create the contract in FILE
  show NAME                       show a contract with its serial
  list                            list all contracts
  update -file FILE -match SERIAL replace the contract if its serial is SERIAL
  retire -match SERIAL NAME       retire the service if its serial is SERIAL
  history NAME                    list all changes of a contract
  status NAME                     count the instances by the serial they have in force

Example: bergamotrun contract create -file order-desk.toml -why "new service"

`

func contractCommand() *command {
	return &command{name: "contract", summary: "create, show, change and retire contracts", usage: contractUsage, run: runContract}
}

// contractInvocation is one execution of the contract command.
type contractInvocation struct {
	inv         *invocation
	flags       apiFlags
	client      *apiClient
	file        string
	matchSerial uint64
	name        string
}

// contractActions maps each action to its function and whether it takes a contract name as an argument.
var contractActions = map[string]struct {
	run       func(ctx context.Context, c *contractInvocation) error
	takesName bool
}{
	"create":  {run: createContract},
	"show":    {run: showContract, takesName: true},
	"list":    {run: listContracts},
	"update":  {run: updateContract},
	"retire":  {run: retireContract, takesName: true},
	"history": {run: showHistory, takesName: true},
	"status":  {run: showStatus, takesName: true},
}

func runContract(ctx context.Context, inv *invocation) error {
	c := &contractInvocation{inv: inv, flags: addAPIFlags(inv.flags)}
	inv.flags.StringVar(&c.file, "file", "", "contract `file` in TOML")
	inv.flags.Uint64Var(&c.matchSerial, "match", 0, "`serial` of the contract that the change is based on")
	var action string
	if len(inv.args) > 0 {
		action = inv.args[0]
	}
	actionSpec, ok := contractActions[action]
	if !ok && !slices.Contains([]string{"-h", "-help", "--help"}, action) {
		_, _ = fmt.Fprintf(inv.stderr, "bergamotrun contract: unknown action %q\n", action)
		inv.printUsage()
		return errUsage
	}
	if ok {
		inv.args = inv.args[1:]
	}
	nameArgs := 0
	if actionSpec.takesName {
		nameArgs = 1
	}
	if err := inv.parse(nameArgs, nameArgs); err != nil {
		return err
	}
	c.name = inv.flags.Arg(0)
	var err error
	if c.client, err = c.flags.client(); err != nil {
		return err
	}
	return actionSpec.run(ctx, c)
}

// readFile reads and validates the contract in the -file argument.
func (c *contractInvocation) readFile() (contr.Contract, error) {
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

func createContract(ctx context.Context, c *contractInvocation) error {
	contract, err := c.readFile()
	if err != nil {
		return err
	}
	req := c.flags.request()
	req.Contract = &contract
	return c.sendChange(ctx, http.MethodPost, "/v1/contracts", req)
}

func updateContract(ctx context.Context, c *contractInvocation) error {
	contract, err := c.readFile()
	if err != nil {
		return err
	}
	req := c.flags.request()
	req.Contract = &contract
	return c.sendChange(ctx, http.MethodPut, "/v1/contracts/"+contract.Name, req)
}

func retireContract(ctx context.Context, c *contractInvocation) error {
	return c.sendChange(ctx, http.MethodDelete, "/v1/contracts/"+c.name, c.flags.request())
}

// sendChange sends a change of a contract and prints the result.
func (c *contractInvocation) sendChange(ctx context.Context, method, path string, req admin.ChangeRequest) error {
	result, err := callAPI[admin.ChangeResponse](ctx, c.client, method, path, c.matchSerial, req)
	if err != nil {
		return errors.Wrapf(err, "change %s", req.ID)
	}
	c.inv.printf("%s %s: serial %d, change %s\n", result.Applied.Change.Op, result.Applied.Change.Name, result.Applied.Position, req.ID)
	return nil
}

func showContract(ctx context.Context, c *contractInvocation) error {
	r, err := callAPI[contr.Record](ctx, c.client, http.MethodGet, "/v1/contracts/"+c.name, 0, nil)
	if err != nil {
		return err
	}
	contract := &r.Contract
	w := tabwriter.NewWriter(c.inv.stdout, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"name", contract.Name}, {"serial", r.Serial}, {"number", r.Number}, {"retired", r.Retired}, {"member", contract.Member},
		{"address", contract.Address}, {"share", contract.Share}, {"slots", contract.Slots}, {"connections", contract.Connections}, {"queue", contract.Queue},
		{"deadline", contract.Deadline.Std()}, {"tickets", contract.Tickets}, {"idempotent", contract.Idempotent}, {"streams", contract.Streams}, {"drain", contract.Drain.Std()},
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%v\n", row.name, row.value)
	}
	return w.Flush()
}

func listContracts(ctx context.Context, c *contractInvocation) error {
	records, err := callAPI[[]contr.Record](ctx, c.client, http.MethodGet, "/v1/contracts", 0, nil)
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

func showHistory(ctx context.Context, c *contractInvocation) error {
	entries, err := callAPI[[]journ.Entry](ctx, c.client, http.MethodGet, "/v1/contracts/"+c.name+"/history", 0, nil)
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

func showStatus(ctx context.Context, c *contractInvocation) error {
	status, err := callAPI[roster.Status](ctx, c.client, http.MethodGet, "/v1/contracts/"+c.name+"/status", 0, nil)
	if err != nil {
		return err
	}
	type group struct {
		role   string
		serial uint64
	}
	instances := make(map[group]int)
	for _, instance := range status.Instances {
		instances[group{instance.Role, instance.Serial}]++
	}
	w := tabwriter.NewWriter(c.inv.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "ROLE\tSERIAL\tINSTANCES")
	for _, role := range []string{"entry", "agent"} {
		var serials []uint64
		for g := range instances {
			if g.role == role {
				serials = append(serials, g.serial)
			}
		}
		slices.Sort(serials)
		for _, s := range serials {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%d\n", role, s, instances[group{role, s}])
		}
	}
	for _, s := range status.Unresponsive {
		_, _ = fmt.Fprintf(w, "entry %s\tno answer\t\n", s)
	}
	return w.Flush()
}
