package rsync

import (
	"fmt"
	"strconv"
	"strings"
)

// options are the parsed arguments of a client.
type options struct {
	sender bool // the server is the sender: a pull
	paths  []string

	recurse, dirs, links, perms, times, owner, group, devices, specials bool
	dryRun, wholeFile, ignoreTimes, sizeOnly, update                    bool
	ignoreExisting, existingOnly, omitDirTimes, omitLinkTimes           bool
	numericIDs, prune, partial, listOnly                                bool
	timeout, bwlimit                                                    int
	verbose                                                             int
	notes                                                               []string
	unsupported                                                         error // names the first unsupported option
}

// shortFlags are the supported short options. Those with an empty function are accepted because they
// do not change the result of the transfer.
var shortFlags = map[byte]func(*options){
	'r': func(o *options) { o.recurse = true },
	'd': func(o *options) { o.dirs = true },
	'l': func(o *options) { o.links = true },
	'p': func(o *options) { o.perms = true },
	't': func(o *options) { o.times = true },
	'o': func(o *options) { o.owner = true },
	'g': func(o *options) { o.group = true },
	'D': func(o *options) { o.devices, o.specials = true, true },
	'n': func(o *options) { o.dryRun = true },
	'W': func(o *options) { o.wholeFile = true },
	'I': func(o *options) { o.ignoreTimes = true },
	'u': func(o *options) { o.update = true },
	'm': func(o *options) { o.prune = true },
	'O': func(o *options) { o.omitDirTimes = true },
	'J': func(o *options) { o.omitLinkTimes = true },
	'v': func(o *options) { o.verbose++ },
	'q': func(*options) {},
	'h': func(*options) {},
	'i': func(*options) {}, // the client prints the itemized changes
	'S': func(*options) {}, // affects the allocation on the client's disk, not the content
	'x': func(*options) {}, // a module is a single file system
	'y': func(*options) {}, // saves traffic only
	'8': func(*options) {},
}

// shortUnsupported are the known but unsupported short options, with the text for the refusal.
var shortUnsupported = map[byte]string{
	'z': "-z (--compress): compression is not done here",
	'c': "-c (--checksum)", 'H': "-H (--hard-links)", 'A': "-A (--acls)", 'X': "-X (--xattrs)",
	'R': "-R (--relative)", 'L': "-L (--copy-links)", 'k': "-k (--copy-dirlinks)",
	'K': "-K (--keep-dirlinks)", 'E': "-E (--executability)", 'U': "-U (--atimes)", 'N': "-N (--crtimes)",
	'b': "-b (--backup)", 'C': "-C (--cvs-exclude)", 's': "-s (--secluded-args)", 'F': "-F", 'f': "-f (--filter)",
}

// longFlags are the supported long options without a value, as shortFlags.
var longFlags = map[string]func(*options){
	"server":              func(*options) {},
	"sender":              func(o *options) { o.sender = true },
	"numeric-ids":         func(o *options) { o.numericIDs = true },
	"size-only":           func(o *options) { o.sizeOnly = true },
	"ignore-existing":     func(o *options) { o.ignoreExisting = true },
	"existing":            func(o *options) { o.existingOnly = true },
	"ignore-non-existing": func(o *options) { o.existingOnly = true },
	"partial":             func(o *options) { o.partial = true },
	"list-only":           func(o *options) { o.listOnly = true },
	"devices":             func(o *options) { o.devices = true },
	"specials":            func(o *options) { o.specials = true },
	"no-specials":         func(o *options) { o.specials = false },
	"stats":               func(*options) {},
	"no-msgs2stderr":      func(*options) {},
	"msgs2stderr":         func(*options) {},
	"no-implied-dirs":     func(*options) {},
	"no-inc-recursive":    func(*options) {},
	"no-i-r":              func(*options) {},
	"old-args":            func(*options) {},
	"open-noatime":        func(*options) {},
	"super":               func(*options) {},
	"no-W":                func(o *options) { o.wholeFile = false },
}

// longIgnored are options with a value that do not change what the server does.
var longIgnored = map[string]bool{"log-format": true, "out-format": true, "info": true, "debug": true,
	"skip-compress": true}

// parseOptions parses a client's argument lines.
func parseOptions(args []string) (options, error) {
	var o options
	server := false
	for i, a := range args {
		switch {
		case a == ".": // the paths follow
			o.paths = args[i+1:]
			if !server {
				return o, fmt.Errorf("arguments: --server is missing")
			}
			return o, o.unsupported
		case strings.HasPrefix(a, "--"):
			name, value, hasValue := strings.Cut(a[2:], "=")
			server = server || name == "server"
			o.parseLong(name, value, hasValue)
		case strings.HasPrefix(a, "-"):
			o.parseShort(a[1:])
		default:
			return o, fmt.Errorf("arguments: %q stands before the paths' '.'", printable(a))
		}
	}
	return o, fmt.Errorf("arguments: no '.' before the paths")
}

// reject records the first unsupported option.
func (o *options) reject(what string) {
	if o.unsupported == nil {
		o.unsupported = fmt.Errorf("option %s is not served here; leave it out", what)
	}
}

func (o *options) parseShort(bundle string) {
	for i := 0; i < len(bundle); i++ {
		c := bundle[i]
		if c == 'e' { // the rest describes the client's version and capabilities
			return
		}
		if set := shortFlags[c]; set != nil {
			set(o)
		} else if text := shortUnsupported[c]; text != "" {
			o.reject(text)
		} else {
			o.reject(fmt.Sprintf("-%s", printable(string(c))))
		}
	}
}

func (o *options) parseLong(name, value string, hasValue bool) {
	number := func(to *int, limit int) {
		n, err := strconv.Atoi(value)
		if err != nil || n < 0 || n > limit {
			o.reject(fmt.Sprintf("--%s=%s (expected 0 to %d)", name, printable(value), limit))
			return
		}
		*to = n
	}
	switch {
	case name == "timeout" && hasValue:
		number(&o.timeout, 1<<20)
	case name == "bwlimit" && hasValue:
		number(&o.bwlimit, 1<<30)
	case hasValue && longIgnored[name]:
	case !hasValue && longFlags[name] != nil:
		longFlags[name](o)
	case strings.HasPrefix(name, "del") || name == "max-delete" || name == "force":
		o.reject("--" + printable(name) + " (nothing is deleted through a push)")
	default:
		o.reject("--" + printable(name))
	}
}

// check verifies that the module permits what the options request.
func (o *options) check(m Module) error {
	switch {
	case o.sender && m.WriteOnly:
		return fmt.Errorf("module %s is write only", m.Name)
	case !o.sender && m.ReadOnly:
		return fmt.Errorf("module %s is read only", m.Name)
	case !o.sender && o.prune:
		return fmt.Errorf("option -m (--prune-empty-dirs) is not served on a push; leave it out")
	case !o.sender && len(o.paths) != 1:
		return fmt.Errorf("a push has one destination, not %d", len(o.paths))
	}
	if !o.sender && o.partial {
		o.notes = append(o.notes, "--partial: a file that is cut off is not kept here, the old one stays whole")
	}
	return nil
}
