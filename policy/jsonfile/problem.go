package jsonfile

import (
	"fmt"
	"strings"
)

// maxProblems bounds the number of problems that are reported together.
const maxProblems = 20

// Problem is one error in a file, with its position and a hint how to correct it.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`   // Line number from 1; 0 if the problem has no position.
	Column  int    `json:"column"` // Column number from 1, in characters.
	Message string `json:"what"`   // What is wrong.
	Hint    string `json:"want"`   // How to correct it.
}

// String returns the problem as one line that starts with file:line:column, which
// editors recognise.
func (p Problem) String() string {
	position := p.File
	if p.Line > 0 {
		position = fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
	}
	if p.Hint == "" {
		return position + ": " + p.Message
	}
	return position + ": " + p.Message + "; " + p.Hint
}

// Problems is a list of problems. It is an error if it is not empty.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for index, problem := range p {
		lines[index] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the first problems, up to maxProblems, as an error, or nil if there
// are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	if len(p) > maxProblems {
		return p[:maxProblems:maxProblems]
	}
	return p
}
