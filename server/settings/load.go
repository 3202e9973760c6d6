package settings

import (
	"fmt"
	"os"

	"github.com/spf13/pflag"

	"persimmonwind.dev/policy/jsonfile"
)

// Load reads the file at path into target, a pointer to a settings struct.
func Load(path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return jsonfile.Decode(path, text, target)
}

// Loader fills a settings struct from a file, environment variables and flags.
// Flags take precedence over environment variables, and those over the file.
type Loader struct {
	path   string
	flags  *pflag.FlagSet
	fields []Field
	target any
}

// NewLoader adds to flags a flag for each field of target that can be set
// outside the file. target points to a settings struct that holds the defaults.
func NewLoader(flags *pflag.FlagSet, target any) *Loader {
	l := &Loader{flags: flags, fields: Fields(target), target: target}
	flags.StringVar(&l.path, "settings", "", "settings file, JSON with comments")
	for _, field := range l.fields {
		if !field.FileOnly() {
			flags.String(field.Flag(), field.Default, fmt.Sprintf("%s (variable %s)", field.Doc, field.Env()))
		}
	}
	return l
}

// Load fills the target. getenv looks up a variable like os.LookupEnv.
func (l *Loader) Load(getenv func(string) (string, bool)) error {
	if l.path != "" {
		if err := Load(l.path, l.target); err != nil {
			return err
		}
	}
	for _, field := range l.fields {
		if err := l.override(field, getenv); err != nil {
			return err
		}
	}
	return nil
}

func (l *Loader) override(field Field, getenv func(string) (string, bool)) error {
	if field.FileOnly() {
		return nil
	}
	if l.flags.Changed(field.Flag()) {
		return field.Set(l.flags.Lookup(field.Flag()).Value.String())
	}
	if text, ok := getenv(field.Env()); ok {
		return field.Set(text)
	}
	return nil
}
