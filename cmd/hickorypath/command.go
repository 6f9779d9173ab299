package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/client"
	"hickorypath/internal/operator/document"
)

// Exit codes of the commands.
const (
	exitFailed   = 1 // failed, with the reason on standard error
	exitUsage    = 2 // unknown command or flag, or a missing or wrong value; nothing was done
	exitFaults   = 3 // the document has faults
	exitConflict = 4 // another operator changed the document first
	exitUnknown  = 5 // the outcome of a change is not known; the message contains the ID for the command change
	exitAccess   = 6 // the API cannot be reached, or refuses the token
	exitTimeout  = 7 // accepted, but not in force on all hosts before the timeout
	exitDiffers  = 8 // diff found differences
)

const exitHelp = `
Exit codes: 0 done; 1 failed; 2 wrong usage, nothing was done; 3 the document has faults; 4 another operator changed it first;
5 the outcome is not known and the message gives the id to ask by; 6 the API cannot be reached or refuses the token;
7 accepted but not in force on all hosts in time; 8 the documents differ.`

// addOperatorCommands adds the commands for operators, and the help on exit codes, to app.
func addOperatorCommands(app *kingpin.Application) {
	app.Help += "\n" + exitHelp
	addCheck(app)
	addDiff(app)
	addApply(app)
	addPromote(app)
	addChange(app)
	addKey(app)
	addUsage(app)
	addBurn(app)
	addStatus(app)
	addExplain(app)
	addVersion(app)
}

// remoteFlags holds the flags of commands that call the operators' API of a host.
type remoteFlags struct {
	url   string
	token string
	json  bool
}

func addRemoteFlags(cmd *kingpin.CmdClause) *remoteFlags {
	r := &remoteFlags{}
	cmd.Flag("admin", "Admin address of a host of the environment.").Envar("HICKORYPATH_ADMIN").Default("http://127.0.0.1:8090").SetValue((*addressValue)(&r.url))
	cmd.Flag("token", "Operator's token; prefer the environment variable, which other users of the machine cannot see.").Envar("HICKORYPATH_TOKEN").StringVar(&r.token)
	addJSON(cmd, &r.json)
	return r
}

func addJSON(cmd *kingpin.CmdClause, target *bool) {
	cmd.Flag("json", "Print machine-readable JSON.").BoolVar(target)
}

// addressValue is the value of a flag that takes the URL of an operators' API.
type addressValue string

// String implements kingpin.Value.
func (a *addressValue) String() string { return string(*a) }

// Set implements kingpin.Value.
func (a *addressValue) Set(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%q is not the address of an API, such as http://127.0.0.1:8090", text)
	}
	*a = addressValue(text)
	return nil
}

func (r *remoteFlags) client() *client.Client {
	return client.New(client.Options{URL: r.url, Token: r.token})
}

// exitError is an error that sets the exit code of the process. An empty text prints nothing.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// newAction returns the action of a command that runs fn. The context of fn is canceled on SIGINT and SIGTERM. If fn
// fails, the action prints the error and exits the process with the error's exit code.
func newAction(jsonOutput *bool, fn func(ctx context.Context) error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
		err := fn(ctx)
		stop()
		if err != nil {
			printError(os.Stderr, err, *jsonOutput)
			os.Exit(exitCode(err))
		}
		return nil
	}
}

func exitCode(err error) int {
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	switch kind.Of(err) {
	case kind.Document:
		return exitFaults
	case kind.Conflict:
		return exitConflict
	case kind.OutcomeUnknown:
		return exitUnknown
	case kind.Unauthorized, kind.Unavailable, kind.Lost:
		return exitAccess
	}
	return exitFailed
}

// printError prints an error, with each fault of a document on its own line, or as JSON.
func printError(w io.Writer, err error, jsonOutput bool) {
	var exitErr *exitError
	if errors.As(err, &exitErr) && exitErr.text == "" {
		return
	}
	if jsonOutput {
		_ = json.NewEncoder(w).Encode(map[string]api.Detail{"error": errorDetail(err)})
		return
	}
	var faults *document.Faults
	var failure *client.APIError
	switch {
	case exitErr != nil:
		fmt.Fprintln(w, exitErr.text)
	case errors.As(err, &faults):
		fmt.Fprintf(w, "%v\n%d faults; nothing was changed\n", err, len(faults.List()))
	case errors.As(err, &failure) && len(failure.Faults()) > 0:
		fmt.Fprintf(w, "%v\n%d faults; nothing was changed\n", failure, len(failure.Faults()))
	default:
		fmt.Fprintln(w, "hickorypath:", err)
		if remedy := remedies[kind.Of(err)]; remedy != "" {
			fmt.Fprintln(w, remedy)
		}
	}
}

// remedies holds advice, by kind of error, that refers to flags and environment variables of the command. The API
// doesn't know these, so its errors cannot contain the advice.
var remedies = map[kind.Kind]string{
	kind.Unauthorized: "set HICKORYPATH_TOKEN or --token to an operator's token of that environment",
	kind.NoRoute:      "HICKORYPATH_ADMIN or --admin must be the operators' address of a host, not the callers'",
	kind.Unavailable:  "check that the host runs and that HICKORYPATH_ADMIN or --admin (for explain --host) is its operators' address",
}

func errorDetail(err error) api.Detail {
	var exitErr *exitError
	if errors.As(err, &exitErr) && exitErr.code == exitTimeout {
		return api.Detail{Kind: kind.Timeout, Message: exitErr.text, Ran: kind.RanYes}
	}
	e := kind.From(err)
	d := api.Detail{Kind: e.Kind(), Message: e.Message(), Ran: e.Ran()}
	var faults *document.Faults
	if errors.As(err, &faults) {
		for _, f := range faults.List() {
			d.Faults = append(d.Faults, api.Fault{File: f.File(), Line: f.Line(), Column: f.Column(), Text: f.Text(), Remedy: f.Remedy()})
		}
	}
	var failure *client.APIError
	if errors.As(err, &failure) {
		d.Faults, d.Change = failure.Faults(), failure.Change()
	}
	return d
}
