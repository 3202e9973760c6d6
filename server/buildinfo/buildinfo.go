// Package buildinfo tells from which source the program was built.
package buildinfo

import "runtime/debug"

// linkedRevision is set by the linker; see tools/revision.sh.
var linkedRevision string

// unknownRevision stands for a revision that the build did not record.
const unknownRevision = "unknown"

// Revision returns the commit from which the program was built, with "-dirty" behind it if
// the source differed from it, or a digest of the source if the build had no commit.
func Revision() string {
	if linkedRevision != "" {
		return linkedRevision
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownRevision
	}
	return stampedRevision(info.Settings)
}

// stampedRevision returns the revision that the go command has recorded.
func stampedRevision(settings []debug.BuildSetting) string {
	revision, dirty := unknownRevision, ""
	for _, setting := range settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			dirty = "-dirty"
		}
	}
	if revision == unknownRevision {
		return revision
	}
	return revision + dirty
}
