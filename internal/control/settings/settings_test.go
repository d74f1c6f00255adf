package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/settings"
)

const validSettings = `[node]
name = file
zone = lisbon_1
zones = lisbon_1
[caller]
address = 127.0.0.1:7000
[peer]
address = 127.0.0.1:7001
[backend]
address = 127.0.0.1:7002
[platform]
url = http://127.0.0.1:8500
`

func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.ini")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestFlagOverridesEnvironmentOverridesFile(t *testing.T) {
	for name, c := range map[string]struct {
		flag, environment, file, want string
	}{
		"default":                 {want: ""},
		"file":                    {file: "file", want: "file"},
		"environment":             {environment: "environment", want: "environment"},
		"environment, file":       {environment: "environment", file: "file", want: "environment"},
		"flag, file":              {flag: "flag", file: "file", want: "flag"},
		"flag, environment":       {flag: "flag", environment: "environment", want: "flag"},
		"flag, environment, file": {flag: "flag", environment: "environment", file: "file", want: "flag"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var arguments []string
			if c.file != "" {
				arguments = append(arguments, "-config", write(t, "[node]\nname = "+c.file+"\n"))
			}
			if c.flag != "" {
				arguments = append(arguments, "-node.name", c.flag)
			}
			t.Setenv("COMFREYHOIST_NODE_NAME", c.environment)
			flags := flag.NewFlagSet(name, flag.ContinueOnError)
			s := settings.Register(flags)
			is.NoErr(s.Parse(flags, arguments))
			is.Equal(s.Node.Name, c.want)
		})
	}
}

func TestFileFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"sound":                     {validSettings, ""},
		"unknown key":               {validSettings + "colour = red", "node.ini:13: [platform] colour: unknown key"},
		"unknown section":           {validSettings + "[paint]\ncolour = red", "node.ini:14: [paint] colour: unknown key"},
		"section twice":             {validSettings + "[node]", "node.ini:13: [node] stands twice"},
		"key twice":                 {validSettings + "url = http://127.0.0.1:1", "node.ini:13: [platform] url: stands twice"},
		"not INI":                   {validSettings + "what is this", "node.ini:13: [platform] what is this: not a [section], a key = value or a comment"},
		"quoted":                    {validSettings + "timeout = \"1s\"", "node.ini:13: [platform] timeout: values are not quoted"},
		"bad unit":                  {validSettings + "timeout = 1 second", "node.ini:13: [platform] timeout: \"1 second\" is not a duration, such as 250ms"},
		"no unit":                   {validSettings + "timeout = 1", "node.ini:13: [platform] timeout: \"1\" is not a duration, such as 250ms"},
		"too long":                  {validSettings + "timeout = 1h", "node.ini:13: [platform] timeout: must be more than 0 and at most 30s"},
		"bad level":                 {validSettings + "[log]\nlevel = loud", "node.ini:14: [log] level: must be debug, info, warn or error"},
		"short token":               {validSettings + "[operator]\ntokens = a:b", "node.ini:14: [operator] tokens: the token of \"a\" is shorter than 16 bytes"},
		"team twice":                {validSettings + "[operator]\ntokens = a:0123456789abcdef,a:fedcba9876543210", "node.ini:14: [operator] tokens: the team \"a\" is listed twice"},
		"editor twice":              {validSettings + "[operator]\ntokens = a/ana:0123456789abcdef,a/ana:fedcba9876543210", "node.ini:14: [operator] tokens: the editor \"a/ana\" is listed twice"},
		"one token for two editors": {validSettings + "[operator]\ntokens = a/ana:0123456789abcdef,a/rui:0123456789abcdef", "node.ini:14: [operator] tokens: \"a/ana\" and \"a/rui\" have the same token"},
		"no editor":                 {validSettings + "[operator]\ntokens = a/:0123456789abcdef", "node.ini:14: [operator] tokens: the editor of \"a/\" must be letters, digits, and . _ @ - after the first, at most 64 in all"},
		"editor's token":            {validSettings + "[operator]\ntokens = a/ana:b", "node.ini:14: [operator] tokens: the token of \"a/ana\" is shorter than 16 bytes"},
		"no team":                   {validSettings + "[operator]\ntokens = /ana:0123456789abcdef", "node.ini:14: [operator] tokens: a pair is not team:token or team/editor:token"},
		"editors":                   {validSettings + "[operator]\ntokens = a:0123456789abcdef,a/ana:fedcba9876543210,*/rui:fedcba987654321x", ""},
		"no tokens":                 {validSettings + "[operator]\naddress = 127.0.0.1:7003", "node.ini:13: [operator] tokens: must be set if operator.address is set: without tokens every request is refused"},
		"same address twice":        {strings.Replace(validSettings, ":7002", ":7000", 1), "node.ini:10: [backend] address: is the same as caller.address"},
		"keys":                      {validSettings + "[keys]\nwindow = 5m\nmax_keys = 1000\nmax_bytes = 2000000", ""},
		"window too short":          {validSettings + "[keys]\nwindow = 90s", "node.ini:14: [keys] window: must be from 2m0s, the longest deadline of a document, to 10m0s"},
		"window too long":           {validSettings + "[keys]\nwindow = 1h", "node.ini:14: [keys] window: must be from 2m0s, the longest deadline of a document, to 10m0s"},
		"too few keys":              {validSettings + "[keys]\nmax_keys = 10", "node.ini:14: [keys] max_keys: must be from 1000 to 10000000"},
		"too few bytes":             {validSettings + "[keys]\nmax_keys = 300000", "node.ini:13: [keys] max_bytes: must be at least 76800000 for keys.max_keys without their answers"},
		"body too large":            {validSettings + "[keys]\nmax_keys = 1000\nmax_bytes = 1000000", "node.ini:15: [keys] max_bytes: must be at least caller.max_body, or one answer fills it"},
		"zone not listed":           {strings.Replace(validSettings, "zones = lisbon_1", "zones = porto_1", 1), "node.ini:4: [node] zones: must hold node.zone"},
		"host name, not an IP":      {strings.Replace(validSettings, "127.0.0.1:7002", "localhost:7002", 1), "node.ini:10: [backend] address: the host must be an IP"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(settings.CheckFile("node.ini", []byte(c.text)).Error(), c.want)
		})
	}
}

func TestAllFaultsAreReportedWithTheirPlaces(t *testing.T) {
	is := is.New(t)
	path := write(t, strings.ReplaceAll(validSettings, "127.0.0.1:700", "nowhere:700"))
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	s := settings.Register(flags)
	is.NoErr(s.Parse(flags, []string{"-config", path, "-peer.address", "here"}))
	text := s.Check().Error()
	is.True(strings.Contains(text, path+":6: [caller] address: the host must be an IP"))
	is.True(strings.Contains(text, "\n[peer] address: must be an IP and a port")) // the address was set by a flag, so its fault has no file and line
	is.True(strings.Contains(text, path+":10: [backend] address: the host must be an IP"))
}

func TestTokensNameEditors(t *testing.T) {
	is := is.New(t)
	tokens, err := settings.Operator{Tokens: "access-team:0123456789abcdef, access-team/ana:a:b/c:0123456789abcdef, */rui:fedcba9876543210"}.TokenList()
	is.NoErr(err)
	is.Equal(tokens, []settings.Token{
		{Team: "access-team", Secret: "0123456789abcdef"},
		{Team: "access-team", Editor: "ana", Secret: "a:b/c:0123456789abcdef"}, // everything after the first colon is the token
		{Team: "*", Editor: "rui", Secret: "fedcba9876543210"},
	})
}

func FuzzCheckFile(f *testing.F) {
	f.Add(validSettings)
	f.Add("[a]\nb = c\n[a]\n= d\n'q' = \"x\n\\")
	f.Fuzz(func(t *testing.T, text string) {
		lines := strings.Count(text, "\n") + 1
		for _, fault := range settings.CheckFile("node.ini", []byte(text)) {
			if fault.Line < 0 || fault.Line > lines || fault.Reason == "" {
				t.Fatalf("fault with an invalid line or without a reason: %+v", fault)
			}
		}
	})
}

// The settings that only a node configured by routes uses are required if the source is routes, and a fault if the
// source is documents.
func TestConfigurationSource(t *testing.T) {
	const routes = "source = routes\n[ready]\naddress = 127.0.0.1:7004\n"
	for name, test := range map[string]struct {
		text string
		want string
	}{
		"documents":                {validSettings, ""},
		"routes":                   {strings.Replace(validSettings, "name = file", "name = file\nservice = crew", 1) + routes, ""},
		"routes without a service": {validSettings + routes, "node.service"},
		"documents with a service": {strings.Replace(validSettings, "name = file", "name = file\nservice = crew", 1), "node.service"},
		"routes without readiness": {strings.Replace(validSettings, "name = file", "name = file\nservice = crew", 1) + "source = routes\n", "ready.address"},
		"another source":           {validSettings + "source = files\n", "platform.source"},
		"an address used twice":    {strings.Replace(validSettings, "name = file", "name = file\nservice = crew", 1) + strings.Replace(routes, "7004", "7002", 1), "ready.address"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var faults []string
			for _, f := range settings.CheckFile("node.ini", []byte(test.text)) {
				faults = append(faults, f.Section+"."+f.Key)
			}
			is.Equal(strings.Join(faults, " "), test.want)
		})
	}
}
