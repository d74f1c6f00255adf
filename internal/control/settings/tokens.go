package settings

import (
	"regexp"
	"strings"

	"github.com/gravitational/trace"
)

// Token is a bearer token of the administration API and its holder.
type Token struct {
	Team string
	// Editor is a member of the team; empty if the token is the team's own.
	Editor string
	// Secret is the token itself. It must not appear in logs, dumps or errors.
	Secret string
}

// holder returns the holder of the token in the form that the settings use.
func (t Token) holder() string {
	if t.Editor == "" {
		return t.Team
	}
	return t.Team + tokenEditorSeparator + t.Editor
}

// editorPattern matches valid names of editors.
var editorPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// TokenList parses the tokens. Each holder has one token.
func (o Operator) TokenList() ([]Token, error) {
	var tokens []Token
	for _, pair := range splitList(o.Tokens) {
		t, err := parseToken(pair)
		if err != nil {
			return nil, err
		}
		for _, other := range tokens {
			if err := t.checkDistinct(other); err != nil {
				return nil, err
			}
		}
		tokens = append(tokens, t)
	}
	return tokens, nil
}

func parseToken(pair string) (Token, error) {
	holder, secret, found := strings.Cut(pair, tokenTeamSeparator)
	team, editor, hasEditor := strings.Cut(holder, tokenEditorSeparator)
	t := Token{Team: team, Editor: editor, Secret: secret}
	switch {
	case !found || team == "":
		return t, trace.BadParameter("a pair is not team:token or team/editor:token")
	case hasEditor && !editorPattern.MatchString(editor):
		return t, trace.BadParameter("the editor of %q must be letters, digits, and . _ @ - after the first, at most 64 in all", holder)
	case len(secret) < minTokenBytes:
		return t, trace.BadParameter("the token of %q is shorter than %d bytes", holder, minTokenBytes)
	}
	return t, nil
}

// checkDistinct returns an error if the two tokens have the same holder or the same secret.
func (t Token) checkDistinct(other Token) error {
	switch {
	case t.holder() == other.holder() && t.Editor == "":
		return trace.BadParameter("the team %q is listed twice", t.Team)
	case t.holder() == other.holder():
		return trace.BadParameter("the editor %q is listed twice", t.holder())
	case t.Secret == other.Secret:
		return trace.BadParameter("%q and %q have the same token", other.holder(), t.holder())
	}
	return nil
}
