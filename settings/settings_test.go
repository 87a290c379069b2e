package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// parsers decode the content of a file of each kind.
var parsers = map[string]func(file string, data []byte) (any, error){
	"entry.yaml":          func(f string, b []byte) (any, error) { return ParseEntry(f, b) },
	"upstream-agent.yaml": func(f string, b []byte) (any, error) { return ParseAgent(f, b) },
	"worker-agent.yaml":   func(f string, b []byte) (any, error) { return ParseAgent(f, b) },
	"operators.yaml":      func(f string, b []byte) (any, error) { return ParseOperators(f, b) },
}

// TestExamplesAreValid guards against example files that are rejected, and against
// comments in them that show a value other than the default.
func TestExamplesAreValid(t *testing.T) {
	commentedKey := regexp.MustCompile(`(?m)^  # ([A-Z]\w+: \S+)`)
	for _, deployment := range []string{"flipper-maghreb", "fjordtork"} {
		for name, parse := range parsers {
			t.Run(deployment+" "+name, func(t *testing.T) {
				data, err := os.ReadFile(filepath.Join("..", "examples", deployment, name))
				require.NoError(t, err)
				got, err := parse(name, data)
				require.NoError(t, err)
				explicit, err := parse(name, commentedKey.ReplaceAll(data, []byte("  $1")))
				require.NoError(t, err)
				require.Equal(t, got, explicit)
				require.Equal(t, strings.HasPrefix(name, "entry"), strings.Contains(string(data), "  # PlanLife"))
			})
		}
	}
}

const minimalEntry = "Name: e1\nDomain: Tunis\nListen: {HTTP: \"10.0.0.1:80\", GRPC: \"10.0.0.1:81\"}\nStore: 10.0.0.2:1\n"

const agentPrefix = "Name: a1\nDomain: Tunis\nListen: 10.0.0.3:1\nEntries: [\"10.0.0.1:81\"]\nBackEnd: 10.0.0.3:2\n"

// TestFaultsAreReportedAtTheirPosition guards against faults that are not detected,
// are reported one at a time, or are reported at a wrong line, column or key.
func TestFaultsAreReportedAtTheirPosition(t *testing.T) {
	cases := map[string]struct {
		kind string
		text string
		want []string
	}{
		"no fault": {"entry.yaml", minimalEntry, nil},
		"several faults in one file": {"entry.yaml", `Name: "a/b"
Colour: red
Listen:
  HTTP: localhost:80
  GRPC: 0.0.0.0:81
Store: 10.0.0.2
Peers: 10.0.0.3:1
Limits:
  MaxBodyBytes: much
  MaxAnswerBytes: 16777217
  RetryBudget: .nan
Timings:
  BeatEvery: 5
  ConfirmEvery: 4s
Log: {Level: loud}
`, []string{
			`f:1:1: Name: "a/b" is not a valid name: use 1 to 64 letters, digits, '-', '_' and '.'`,
			`f:1:1: Domain: key is missing`,
			`f:2:1: Colour: unknown key; known keys are Name, Domain, Listen, Store, Peers, Limits, Timings, Log`,
			`f:4:3: Listen.HTTP: must be an address such as 10.0.0.1:7070, not "localhost:80"`,
			`f:5:3: Listen.GRPC: is announced to other processes and must be an address of this host, not 0.0.0.0`,
			`f:6:1: Store: must be an address such as 10.0.0.1:7070, not "10.0.0.2"`,
			`f:7:1: Peers: must be a list, not the string "10.0.0.3:1"`,
			`f:9:3: Limits.MaxBodyBytes: must be an integer, not the string "much"`,
			`f:10:3: Limits.MaxAnswerBytes: is 16777217; it must be from 1 to 16777216`,
			`f:11:3: Limits.RetryBudget: must be a number, not the number .nan`,
			`f:13:3: Timings.BeatEvery: must be a duration such as 250ms, 2s or 1h, not the number 5`,
			`f:14:3: Timings.ConfirmEvery: ConfirmEvery must be shorter than ConfirmFresh: otherwise authority expires between two confirmations`,
			`f:15:7: Log.Level: must be one of trace, debug, info, warn, error, not "loud"`,
		}},
		"key in lower case": {"entry.yaml", minimalEntry + "peers: []\n", []string{
			`f:5:1: peers: unknown key; known keys are Name, Domain, Listen, Store, Peers, Limits, Timings, Log`}},
		"duplicate key": {"entry.yaml", minimalEntry + "Name: e2\n", []string{`f:5:1: Name: duplicate key`}},
		"duplicate address": {"entry.yaml", minimalEntry + "Peers:\n- 10.0.0.4:1\n- 10.0.0.4:1\n", []string{
			`f:7:3: Peers[1]: is the same address as Peers[0]`}},
		"own address as store address": {"entry.yaml", strings.Replace(minimalEntry, "10.0.0.2:1", "10.0.0.1:81", 1), []string{
			`f:4:1: Store: is an address of the entry itself`}},
		"contradictory limits": {"entry.yaml", minimalEntry + "Limits: {MaxQueuedCalls: 100, StoreTimeout: 3s}\n", []string{
			`f:5:10: Limits.MaxQueuedCalls: Limits.MaxQueuedPerAccount (256) must not exceed Limits.MaxQueuedCalls (100)`,
			`f:5:31: Limits.StoreTimeout: Limits.StoreTimeout (3s) must be shorter than Timings.StoreFresh (3s): otherwise one slow request ends the store contact`}},
		"contradictory timings": {"entry.yaml", minimalEntry + "Timings:\n  MemberFresh: 15s\n  FreshFor: 11s\n  ReserveFor: 6s\n  ConfirmFresh: 9s\n", []string{
			`f:6:3: Timings.MemberFresh: MemberFresh must be shorter than GangLease: otherwise a gang stops before a missing report is detected`,
			`f:7:3: Timings.FreshFor: FreshFor is 11s; an agent could use an outdated configuration for that long; the limit is 10s`,
			`f:8:3: Timings.ReserveFor: StoreFresh, ReserveFor and BeatEvery add up to 11s; a task could start that long after its domain was taken out; the limit is 10s`,
			`f:9:3: Timings.ConfirmFresh: ConfirmFresh, FreshFor and BeatEvery add up to 22s; a change could take that long to be in force in all processes; the limit is 20s`}},
		"anchor":                {"entry.yaml", minimalEntry + "Log: &x {Level: info}\n", []string{`f:5:1: Log: must be a mapping of keys, not an anchor, alias, tag or merge key`}},
		"syntax":                {"entry.yaml", minimalEntry + "Log: {Level: info\n", []string{`f:5:6: could not find flow mapping end token '}'`}},
		"two documents":         {"entry.yaml", "Name: a\n---\nName: b\n", []string{`f:1:1: file must hold exactly one document with content; documents found: 2`}},
		"empty":                 {"operators.yaml", "", []string{`f:1:1: file must hold exactly one document with content; documents found: 1`}},
		"list at the top level": {"operators.yaml", "- a\n", []string{`f:1:1: must be a mapping of keys, not a list`}},
		"too many lines":        {"operators.yaml", strings.Repeat("\n", 8193), []string{`f:1:1: file is too large: read 8193 bytes, 8193 lines, 1 bytes in the longest line, and 0 opening brackets; the limits are 262144, 8192, 4096 and 4096`}},
		"worker without capacity": {"worker-agent.yaml", agentPrefix + "Kind: Worker\nCapacity: {Slots: 8}\n", []string{
			`f:1:1: Rack: key is missing; an agent of kind Worker requires it`,
			`f:7:1: Capacity.Accelerators: key is missing; an agent of kind Worker requires it`,
			`f:7:1: Capacity.Processors: key is missing; an agent of kind Worker requires it`,
			`f:7:1: Capacity.MemoryMB: key is missing; an agent of kind Worker requires it`,
			`f:7:12: Capacity.Slots: key is not allowed for an agent of kind Worker`}},
		"unknown kind":          {"worker-agent.yaml", agentPrefix + "Kind: Robot\nCapacity: {Slots: 8}\n", []string{`f:6:1: Kind: must be Upstream or Worker, not "Robot"`}},
		"empty list of entries": {"worker-agent.yaml", strings.Replace(agentPrefix, `["10.0.0.1:81"]`, "[]", 1) + "Kind: Upstream\nCapacity: {Slots: 8}\n", []string{`f:4:1: Entries: list has 0 items; it must have from 1 to 64`}},
		"empty section":         {"operators.yaml", "Domains:\n", []string{}},
		"operators": {"operators.yaml", `Domains:
  - {Name: Bergen, Region: Vestland}
  - {Name: Bergen}
Accounts:
  - Name: a
    QuotaAccelerators: 15
    Guarantees:
      - Shape: {Members: 2, Accelerators: 8, Processors: 1, MemoryMB: 1}
        Count: 1
  - Name: b
    Guarantees:
      - Shape: {Members: 129, Accelerators: 1, Processors: 0, MemoryMB: 1, Adjacent: 1}
  - Name: a
`, []string{
			`f:3:6: Domains[1].Region: key is missing`,
			`f:3:6: Domains[1].Name: "Bergen" is already declared by Domains[0]`,
			`f:6:5: Accounts[0].QuotaAccelerators: is 15, but the guarantees add up to 16 accelerators`,
			`f:12:9: Accounts[1].Guarantees[0].Count: key is missing`,
			`f:12:17: Accounts[1].Guarantees[0].Shape.Members: is 129; it must be from 1 to 128`,
			`f:12:48: Accounts[1].Guarantees[0].Shape.Processors: is 0; it must be from 1 to 4096`,
			`f:12:76: Accounts[1].Guarantees[0].Shape.Adjacent: must be true or false, not the number 1`,
			`f:13:5: Accounts[2].Name: "a" is already declared by Accounts[0]`}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			v, err := parsers[tc.kind]("f", []byte(tc.text))
			if len(tc.want) == 0 {
				require.NoError(t, err)
				return
			}
			require.Equal(t, strings.Join(tc.want, "\n"), err.Error())
			require.Equal(t, rosemarysill.InvalidSettings, rosemarysill.CodeOf(err))
			require.Zero(t, v, "a file with faults must yield no settings")
		})
	}
}

// TestDefaultTimingsAreValid guards against default timings that the checks
// reject, including the scaled timings of demonstrations.
func TestDefaultTimingsAreValid(t *testing.T) {
	for name, scale := range map[string]float64{"deployment": 1, "demonstration": 0.05} {
		t.Run(name, func(t *testing.T) {
			d := newDecoder("f")
			d.checkTimings(rosemarysill.DefaultTimings().Scaled(scale))
			require.NoError(t, d.Faults())
		})
	}
}

// TestReadRejectsMissingAndTruncatedFiles guards against a missing file that is
// read as an empty one, and against a large file that is accepted after a partial
// read.
func TestReadRejectsMissingAndTruncatedFiles(t *testing.T) {
	dir := t.TempDir()
	large := filepath.Join(dir, "large.yaml")
	require.NoError(t, os.WriteFile(large, []byte(minimalEntry+strings.Repeat("# comment\n", 30_000)), 0o600))
	for name, read := range map[string]func(string) error{
		"entry.yaml":        func(f string) error { _, err := ReadEntry(f); return err },
		"worker-agent.yaml": func(f string) error { _, err := ReadAgent(f); return err },
		"operators.yaml":    func(f string) error { _, err := ReadOperators(f); return err },
	} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, read(filepath.Join("..", "examples", "fjordtork", name)))
			for _, file := range []string{filepath.Join(dir, "none.yaml"), large} {
				require.Equal(t, rosemarysill.InvalidSettings, rosemarysill.CodeOf(read(file)))
			}
		})
	}
}

// FuzzParse guards against files that crash the process, yield partial settings, or
// are rejected with a fault that has no position or no detail.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{minimalEntry, agentPrefix, "", "-", "? a\n: b", "{", "A: &a [*a]", "a: !!binary x", "Timings: {BeatEvery: -1s}",
		"Accounts: [{Name: x, Guarantees: [{Shape: {Members: 99999999999999999999}, Count: 0x7f}]}]", "Name: |\n  a\n", "\xff\xfe", "'", "Limits: ~\n<<: 1", "%YAML 1.2\n---\n...",
		"Domains:\n- Name: [\n", "1: 2\n{}: 3\n", "Name: \"\\u0000\"", "Log:\n\tLevel: x"} {
		f.Add([]byte(seed))
	}
	examples, err := filepath.Glob("../examples/*/*.yaml")
	require.NoError(f, err)
	for _, file := range examples {
		data, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for name, parse := range parsers {
			v, err := parse("f", data)
			if err == nil {
				continue
			}
			require.Zero(t, v)
			var faults *Error
			require.ErrorAs(t, err, &faults, name)
			require.NotEmpty(t, faults.Faults)
			for _, fault := range faults.Faults {
				require.Equal(t, "f", fault.File)
				require.Positive(t, fault.Line)
				require.NotEmpty(t, fault.Detail)
			}
		}
	})
}

// TestLogResult guards against faults that are missing from the log or are logged
// without their position.
func TestLogResult(t *testing.T) {
	_, err := ParseOperators("f", []byte("Domains:\n- {Name: a}\n- {}\n"))
	for name, tc := range map[string]struct {
		err  error
		want string
	}{
		"in force": {nil, `{"level":"info","Event":800,"Name":"SettingsRead","File":"f"}` + "\n"},
		"faults": {err, `{"level":"error","Event":801,"Name":"SettingsFault","File":"f","Line":2,"Column":4,"Key":"Domains[0].Region","Detail":"key is missing"}` + "\n" +
			`{"level":"error","Event":801,"Name":"SettingsFault","File":"f","Line":3,"Column":3,"Key":"Domains[1].Name","Detail":"key is missing"}` + "\n" +
			`{"level":"error","Event":801,"Name":"SettingsFault","File":"f","Line":3,"Column":3,"Key":"Domains[1].Region","Detail":"key is missing"}` + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var log strings.Builder
			LogResult(zerolog.New(&log), "f", tc.err)
			require.Equal(t, tc.want, log.String())
		})
	}
}

// TestTimingsAreDecoded guards against timings that are not taken from the file.
func TestTimingsAreDecoded(t *testing.T) {
	e, err := ParseEntry("f", []byte(minimalEntry+"Timings: {BeatEvery: 1s, PlanLife: 5m, DecideEvery: 100ms}\n"))
	require.NoError(t, err)
	want := rosemarysill.DefaultTimings()
	want.BeatEvery, want.PlanLife, want.DecideEvery = time.Second, 5*time.Minute, 100*time.Millisecond
	require.Equal(t, want, e.Timings)
}
