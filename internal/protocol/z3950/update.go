package z3950

import (
	"slices"
	"strconv"
	"strings"

	"rooktrestle/internal/query"
)

// Values of fields of a database update.
const (
	esFunctionCreate = 1 // the task is to be performed
	esWait           = 1 // the response is sent when the task is finished
)

// Diagnostics of database updates that are rejected.
const (
	diagUnsupportedPackageType = 221
	diagUnsupportedFunction    = 223
	diagMalformedTask          = 228
)

// updateActions are the actions of a database update by their codes.
var updateActions = map[int]query.Action{
	1: query.ActionCreate,
	2: query.ActionReplace,
	3: query.ActionDelete,
}

// UpdateRequest is a database update of one record.
type UpdateRequest struct {
	Database string
	Action   query.Action
	Record   query.Record
}

// Update returns the unit of a database update (extended services), whose response comes when the update is finished.
func Update(reference, database string, action query.Action, record query.Record) *Node {
	code := 0
	for number, name := range updateActions {
		if name == action {
			code = number
		}
	}
	var content *Node
	if record.XML != "" {
		content = Constructed(fieldSuppliedRecord, externalXML(record.XML))
	}
	toKeep := sequence(Integer(fieldUpdateAction, code), String(fieldUpdateDatabaseName, database))
	supplied := sequence(Constructed(fieldSuppliedID, String(suppliedIDString, record.ID)), content)
	task := Constructed(taskRequest,
		Constructed(fieldUpdateToKeep, toKeep),
		Constructed(fieldUpdateNotToKeep, sequence(supplied)))
	return Constructed(EsRequest,
		String(FieldReferenceID, reference),
		Integer(fieldEsFunction, esFunctionCreate),
		OID(Context, fieldEsPackageType, oidUpdate1),
		Constructed(fieldEsTaskParameters, OID(Universal, tagOID, oidUpdate1), Constructed(externalSingleType, task)),
		Integer(fieldEsWaitAction, esWait))
}

// ParseUpdate reads a database update. The diagnostic is nil if it is one that can be served.
func ParseUpdate(unit *Node) (UpdateRequest, *query.Diagnostic) {
	var request UpdateRequest
	toKeep, supplied, problem := updateTask(unit)
	if problem != nil {
		return request, problem
	}
	action, found := updateActions[toKeep.Child(fieldUpdateAction).IntOr(0)]
	if !found {
		return request, malformedTask("action")
	}
	request.Action = action
	request.Database = toKeep.Child(fieldUpdateDatabaseName).Text()
	// One record is one query: the response to several could not say which of them was changed.
	if len(supplied.Children) != 1 {
		return request, malformedTask("one record a request")
	}
	record := supplied.Children[0]
	request.Record.ID = suppliedID(record)
	request.Record.XML = parseExternal(record.Child(fieldSuppliedRecord).OnlyChild())
	if request.Record.ID == "" || request.Record.XML == "" && action != query.ActionDelete {
		return request, malformedTask("no record id, or no record")
	}
	return request, nil
}

// updateTask returns the parts of a database update: action and database, and the list of records.
func updateTask(unit *Node) (toKeep, supplied *Node, problem *query.Diagnostic) {
	if unit.Child(fieldEsFunction).IntOr(0) != esFunctionCreate {
		return nil, nil, &query.Diagnostic{Bib1: diagUnsupportedFunction, Details: "function"}
	}
	packageType := unit.Child(fieldEsPackageType).OID()
	if !strings.HasPrefix(packageType, oidUpdate) {
		return nil, nil, &query.Diagnostic{Bib1: diagUnsupportedPackageType, Details: packageType}
	}
	parameters := unit.Child(fieldEsTaskParameters)
	// The EXTERNAL may stand inside the tag or, with an implicit tag, in its place.
	if external := parameters.OnlyChild(); external != nil && external.Class == Universal && external.Tag == tagExternal {
		parameters = external
	}
	task := parameters.Child(externalSingleType).OnlyChild()
	if task == nil || !task.is(taskRequest) {
		return nil, nil, malformedTask("task parameters")
	}
	toKeep = task.Child(fieldUpdateToKeep)
	supplied = task.Child(fieldUpdateNotToKeep)
	if toKeep == nil || supplied == nil {
		return nil, nil, malformedTask("task parameters")
	}
	// The sequence of records may stand inside the tag. A single record is a sequence too, of values with context tags.
	list := explicitSequence(supplied)
	if !slices.ContainsFunc(list.Children, func(child *Node) bool { return child.Class != Universal }) {
		supplied = list
	}
	return explicitSequence(toKeep), supplied, nil
}

// suppliedID returns the identifier of a record in a database update, a number or a string.
func suppliedID(record *Node) string {
	id := record.Child(fieldSuppliedID).OnlyChild()
	if id != nil && id.is(suppliedIDNumber) {
		return strconv.Itoa(id.IntOr(0))
	}
	return id.Text()
}

// explicitSequence returns the SEQUENCE inside an explicit tag, or n itself if there is none.
func explicitSequence(n *Node) *Node {
	if child := n.OnlyChild(); child != nil && child.Class == Universal && child.Tag == TagSequence {
		return child
	}
	return n
}

func malformedTask(details string) *query.Diagnostic {
	return &query.Diagnostic{Bib1: diagMalformedTask, Details: details}
}
