package inspector

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"limpetrail/matcher"
)

// keyHashBytes is the part of a key's hash that is shown: enough to tell keys apart, without
// revealing them.
const keyHashBytes = 6

// entry is a part of a document by which documents are compared: the values of its fields, by
// name.
type entry map[string]string

// Compare returns how a document differs from the one before, sorted by entry.
func Compare(before, after *matcher.Document) []Difference {
	old, current := entriesOf(before), entriesOf(after)
	names := maps.Clone(old)
	maps.Copy(names, current)

	differences := []Difference{}

	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldEntry, wasThere := old[name]
		newEntry, isThere := current[name]

		switch {
		case !wasThere:
			differences = append(differences, Difference{Change: Added, Entry: name, After: newEntry.describe(nil)})
		case !isThere:
			differences = append(differences, Difference{Change: Removed, Entry: name, Before: oldEntry.describe(nil)})
		case !maps.Equal(oldEntry, newEntry):
			differences = append(differences, Difference{Change: Changed, Entry: name, Before: oldEntry.describe(newEntry), After: newEntry.describe(oldEntry)})
		}
	}

	return differences
}

// describe returns the fields that differ from another entry's.
func (described entry) describe(other entry) string {
	fields := []string{}

	for _, name := range slices.Sorted(maps.Keys(described)) {
		if value, found := other[name]; !found || value != described[name] {
			fields = append(fields, name+"="+described[name])
		}
	}

	return strings.Join(fields, " ")
}

// entriesOf returns the entries of a document by name.
func entriesOf(document *matcher.Document) map[string]entry {
	entries := map[string]entry{"limits": fieldsOf(document.Limits)}
	entries["keys"] = entry{"Required": fmt.Sprint(document.RequiresKeys())}

	for index := range document.Routes {
		name := routeEntry(&document.Routes[index])
		// Routes may share a name; each must stay visible.
		for count := 2; entries[name] != nil; count++ {
			name = fmt.Sprintf("%s (%d)", routeEntry(&document.Routes[index]), count)
		}

		entries[name] = fieldsOf(document.Routes[index])
	}

	for name, service := range document.Services {
		entries["service "+name] = fieldsOf(service)
	}

	for name, workspace := range document.Workspaces {
		priority := "unset"
		if workspace.Priority != nil {
			priority = fmt.Sprint(*workspace.Priority)
		}

		entries["workspace "+name] = entry{"Priority": priority}

		if workspace.Cap.Limited() {
			entries["cap of workspace "+name] = fieldsOf(workspace.Cap)
		}

		for _, key := range workspace.Keys {
			entries["key "+hashOf(key)] = entry{"Workspace": name}
		}
	}

	return entries
}

// fieldsOf returns the exported fields of a struct, without its name.
func fieldsOf(value any) entry {
	fields, reflected := entry{}, reflect.ValueOf(value)

	for _, field := range reflect.VisibleFields(reflected.Type()) {
		if field.Name != "Name" && field.IsExported() {
			fields[field.Name] = fmt.Sprintf("%v", reflected.FieldByIndex(field.Index).Interface())
		}
	}

	return fields
}

// hashOf returns a short hash of a key.
func hashOf(key string) string {
	hash := sha256.Sum256([]byte(key))

	return hex.EncodeToString(hash[:keyHashBytes])
}
