#include "stored_walk.h"

#include <apr_hash.h>
#include <apr_strings.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "containers.h"
#include "notchlug.pb-c.h"

const ProtobufCMessageDescriptor *const walk_roots[WALK_ROOTS] = {
	&nl__msg__descriptor,         &nl__operation__descriptor,     &nl__control_state__descriptor,
	&nl__purge_state__descriptor, &nl__service_state__descriptor, &nl__members__descriptor
};

enum { COPIES = 2 }; /* of a repeated field */

/* The places of walk_as_of; NULL: all. */
static apr_hash_t *walked_places;

void walk_as_of(const char *schema, apr_pool_t *pool)
{
	walked_places = schema ? apr_hash_make(pool) : NULL;
	while (schema && *schema) {
		size_t length = strcspn(schema, " ");
		const char *place = apr_pstrmemdup(pool, schema, length);

		apr_hash_set(walked_places, place, (apr_ssize_t)length, place);
		schema += strcspn(schema, "\n");
		schema += *schema != 0;
	}
}

/* Whether a place is walked. In a schema it has no index of repeated fields. */
static int is_walked(const char *place, apr_pool_t *pool)
{
	char *plain = apr_palloc(pool, strlen(place) + 1), *to = plain;
	int in_index = 0;

	if (!walked_places)
		return 1;
	for (; *place; place++) {
		in_index |= *place == '[';
		if (!in_index)
			*to++ = *place;
		in_index &= *place != ']';
	}
	return apr_hash_get(walked_places, plain, to - plain) != NULL;
}

static int is_alternative(const ProtobufCFieldDescriptor *f)
{
	return (f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0;
}

/* The lowest number of the fields of which one is set together with f. */
static uint32_t first_alternative(const ProtobufCMessageDescriptor *d, const ProtobufCFieldDescriptor *f)
{
	for (unsigned i = 0; i < d->n_fields; i++)
		if (is_alternative(&d->fields[i]) && d->fields[i].quantifier_offset == f->quantifier_offset)
			return d->fields[i].id;
	return 0;
}

const uint32_t *walk_cases(enum walk_root root, apr_pool_t *pool)
{
	const ProtobufCMessageDescriptor *d = walk_roots[root];
	uint32_t *cases = apr_pcalloc(pool, (d->n_fields + 2) * sizeof *cases);
	int n = 0;

	for (unsigned i = 0; i < d->n_fields; i++)
		if (is_alternative(&d->fields[i]) &&
		    is_walked(apr_psprintf(pool, "%d.%u", (int)root, (unsigned)d->fields[i].id), pool))
			cases[n++] = d->fields[i].id;
	return cases;
}

/* ---- values ---- */

/* FNV-1a of a place. */
static uint64_t hash_of(const char *place)
{
	uint64_t h = 0xcbf29ce484222325u;

	for (; *place; place++)
		h = (h ^ (uint8_t)*place) * 0x100000001b3u;
	return h | 1;
}

static size_t size_of(ProtobufCType type)
{
	switch (type) {
	case PROTOBUF_C_TYPE_SINT64:
	case PROTOBUF_C_TYPE_SFIXED64:
	case PROTOBUF_C_TYPE_INT64:
	case PROTOBUF_C_TYPE_UINT64:
	case PROTOBUF_C_TYPE_FIXED64:
	case PROTOBUF_C_TYPE_DOUBLE:
		return 8;
	case PROTOBUF_C_TYPE_BOOL:
		return sizeof(protobuf_c_boolean);
	case PROTOBUF_C_TYPE_STRING:
	case PROTOBUF_C_TYPE_MESSAGE:
		return sizeof(void *);
	case PROTOBUF_C_TYPE_BYTES:
		return sizeof(ProtobufCBinaryData);
	default:
		return 4;
	}
}

struct walk {
	apr_pool_t *pool;
	uint32_t one;    /* of the root's fields of which one is set */
	int check;       /* compare; else fill */
	const char *bad; /* the first place that differs */
};

static void walk_message(struct walk *walk, ProtobufCMessage *message, const char *place, int is_root);

static void instances_differ(struct walk *walk, const char *place)
{
	if (!walk->bad)
		walk->bad = place;
}

static void walk_raw(struct walk *walk, void *at, const void *value, size_t n, const char *place)
{
	if (!walk->check)
		memcpy(at, value, n);
	else if (memcmp(at, value, n))
		instances_differ(walk, place);
}

static void walk_value(struct walk *walk, const ProtobufCFieldDescriptor *f, void *at, const char *place)
{
	uint64_t h = hash_of(place);
	uint32_t h32 = (uint32_t)(h >> 32) | 1;
	protobuf_c_boolean yes = 1;

	switch (f->type) {
	case PROTOBUF_C_TYPE_STRING: {
		const char *text = apr_psprintf(walk->pool, "text %s", place);

		if (!walk->check)
			*(const char **)at = text;
		else if (strcmp(*(char **)at, text))
			instances_differ(walk, place);
		break;
	}
	case PROTOBUF_C_TYPE_BYTES: {
		ProtobufCBinaryData *b = at, bytes = { 9, apr_pcalloc(walk->pool, 9) };

		memcpy(bytes.data, &h, 8);
		if (!walk->check)
			*b = bytes;
		else if (b->len != bytes.len || memcmp(b->data, bytes.data, bytes.len))
			instances_differ(walk, place);
		break;
	}
	case PROTOBUF_C_TYPE_MESSAGE: {
		ProtobufCMessage **message = at;
		const ProtobufCMessageDescriptor *d = f->descriptor;

		if (!walk->check) {
			*message = apr_pcalloc(walk->pool, d->sizeof_message);
			d->message_init(*message);
		}
		if (*message)
			walk_message(walk, *message, place, 0);
		else
			instances_differ(walk, place);
		break;
	}
	case PROTOBUF_C_TYPE_ENUM: {
		const ProtobufCEnumDescriptor *e = f->descriptor;
		int32_t last = e->values[e->n_values - 1].value;

		walk_raw(walk, at, &last, sizeof last, place);
		break;
	}
	case PROTOBUF_C_TYPE_BOOL:
		walk_raw(walk, at, &yes, sizeof yes, place);
		break;
	default:
		if (size_of(f->type) == 8)
			walk_raw(walk, at, &h, sizeof h, place);
		else
			walk_raw(walk, at, &h32, sizeof h32, place);
	}
}

static void walk_field(struct walk *walk, const ProtobufCFieldDescriptor *f, uint8_t *m, const char *place)
{
	size_t *count = (size_t *)(void *)(m + f->quantifier_offset);
	void *at = m + f->offset;

	if (f->label != PROTOBUF_C_LABEL_REPEATED) {
		walk_value(walk, f, at, place);
		return;
	}
	if (!walk->check) {
		*count = COPIES;
		*(void **)at = apr_pcalloc(walk->pool, COPIES * size_of(f->type));
	} else if (*count != COPIES) {
		instances_differ(walk, place);
		return;
	}
	for (int i = 0; i < COPIES; i++)
		walk_value(walk, f, *(uint8_t **)at + (size_t)i * size_of(f->type),
			   apr_psprintf(walk->pool, "%s[%d]", place, i));
}

/* A field that the version of the data did not have: absent in what it stored. */
static void check_absent(struct walk *walk, const ProtobufCFieldDescriptor *f, const uint8_t *m,
			 const char *place)
{
	static const uint8_t none[16];
	const uint8_t *at = m + (f->label == PROTOBUF_C_LABEL_REPEATED ? f->quantifier_offset : f->offset);
	size_t size = f->label == PROTOBUF_C_LABEL_REPEATED ? sizeof(size_t) : size_of(f->type);

	if (!walk->check || is_alternative(f))
		return; /* of alternatives the chosen one is compared */
	if (f->label != PROTOBUF_C_LABEL_REPEATED && f->type == PROTOBUF_C_TYPE_STRING) {
		if (**(char *const *)(const void *)at)
			instances_differ(walk, place);
	} else if (memcmp(at, none, size) != 0) {
		instances_differ(walk, place);
	}
}

static void walk_message(struct walk *walk, ProtobufCMessage *message, const char *place, int is_root)
{
	const ProtobufCMessageDescriptor *d = message->descriptor;

	for (unsigned i = 0; i < d->n_fields; i++) {
		const ProtobufCFieldDescriptor *f = &d->fields[i];
		const char *here = apr_psprintf(walk->pool, "%s.%u", place, (unsigned)f->id);

		if (!is_walked(here, walk->pool)) {
			check_absent(walk, f, (const uint8_t *)message, here);
			continue;
		}
		if (is_alternative(f)) {
			uint32_t *chosen = (uint32_t *)(void *)((uint8_t *)message + f->quantifier_offset);
			uint32_t one = is_root && walk->one ? walk->one : first_alternative(d, f);

			if (one != f->id)
				continue;
			if (!walk->check) {
				*chosen = one;
			} else if (*chosen != one) {
				instances_differ(walk, here);
				continue;
			}
		}
		walk_field(walk, f, (uint8_t *)message, here);
	}
}

ProtobufCMessage *walk_fill(enum walk_root root, uint32_t one, apr_pool_t *pool)
{
	struct walk walk = { .pool = pool, .one = one };
	ProtobufCMessage *message = apr_pcalloc(pool, walk_roots[root]->sizeof_message);

	walk_roots[root]->message_init(message);
	walk_message(&walk, message, apr_psprintf(pool, "%d", root), 1);
	return message;
}

const char *walk_check(enum walk_root root, uint32_t one, ProtobufCMessage *message, apr_pool_t *pool)
{
	struct walk walk = { .pool = pool, .one = one, .check = 1 };

	walk_message(&walk, message, apr_psprintf(pool, "%d", root), 1);
	return walk.bad;
}

/* ---- the fields that there are ---- */

static char *add_text(char *text, const char *more)
{
	size_t n = strlen(more);

	memcpy(arraddnptr(text, n), more, n);
	return text;
}

static char *schema_of(char *text, const ProtobufCMessageDescriptor *d, const char *place, apr_pool_t *pool)
{
	for (unsigned i = 0; i < d->n_fields; i++) {
		const ProtobufCFieldDescriptor *f = &d->fields[i];
		const char *here = apr_psprintf(pool, "%s.%u", place, (unsigned)f->id);

		text =
		    add_text(text, apr_psprintf(pool, "%s type %d label %d flags %u one of %u", here,
						(int)f->type, (int)f->label, (unsigned)f->flags,
						is_alternative(f) ? (unsigned)first_alternative(d, f) : 0));
		if (f->type == PROTOBUF_C_TYPE_ENUM) {
			const ProtobufCEnumDescriptor *e = f->descriptor;

			for (unsigned k = 0; k < e->n_values; k++)
				text = add_text(text, apr_psprintf(pool, "%s%d", k ? "," : " values ",
								   e->values[k].value));
		}
		text = add_text(text, "\n");
		if (f->type == PROTOBUF_C_TYPE_MESSAGE)
			text = schema_of(text, f->descriptor, here, pool);
	}
	return text;
}

static const char *in_pool(char *text, apr_pool_t *pool)
{
	const char *copy = apr_pstrmemdup(pool, text ? text : "", (size_t)arrlen(text));

	arrfree(text);
	return copy;
}

const char *walk_schema(apr_pool_t *pool)
{
	char *text = NULL;

	for (int i = 0; i < WALK_ROOTS; i++)
		text = schema_of(text, walk_roots[i], apr_psprintf(pool, "%d", i), pool);
	return in_pool(text, pool);
}

static const ProtobufCMessageDescriptor **kinds_below(const ProtobufCMessageDescriptor **known,
						      const ProtobufCMessageDescriptor *d)
{
	for (ptrdiff_t i = 0; i < arrlen(known); i++)
		if (known[i] == d)
			return known;
	arrput(known, d);
	for (unsigned i = 0; i < d->n_fields; i++)
		if (d->fields[i].type == PROTOBUF_C_TYPE_MESSAGE)
			known = kinds_below(known, d->fields[i].descriptor);
	return known;
}

int walk_kinds(void)
{
	const ProtobufCMessageDescriptor **known = NULL;
	int n;

	for (int i = 0; i < WALK_ROOTS; i++)
		known = kinds_below(known, walk_roots[i]);
	n = (int)arrlen(known);
	arrfree(known);
	return n;
}

/* ---- what a message holds ---- */

static const char *bytes_text(const uint8_t *d, size_t n, apr_pool_t *pool)
{
	char *s = apr_palloc(pool, 4 * n + 3), *to = s;

	*to++ = '"';
	for (size_t i = 0; i < n; i++)
		if (d[i] >= ' ' && d[i] < 0x7f && d[i] != '\\' && d[i] != '"')
			*to++ = (char)d[i];
		else
			to += apr_snprintf(to, 5, "\\x%02x", d[i]);
	*to++ = '"';
	*to = 0;
	return s;
}

static char *dump_message(char *text, const ProtobufCMessage *message, const char *place, apr_pool_t *pool);

static char *dump_value(char *text, const ProtobufCFieldDescriptor *f, const void *at, const char *place,
			int listed, apr_pool_t *pool)
{
	static const uint8_t none[16];
	const char *value;

	if (f->type == PROTOBUF_C_TYPE_MESSAGE) {
		ProtobufCMessage *const *message = at;

		if (!*message)
			return text;
		text = add_text(text, apr_psprintf(pool, "%s:\n", place));
		return dump_message(text, *message, place, pool);
	}
	if (f->type == PROTOBUF_C_TYPE_STRING) {
		const char *s = *(char *const *)at;

		if (!s || (!*s && !listed))
			return text;
		value = bytes_text((const uint8_t *)s, strlen(s), pool);
	} else if (f->type == PROTOBUF_C_TYPE_BYTES) {
		const ProtobufCBinaryData *b = at;

		if (!b->len && !listed)
			return text;
		value = bytes_text(b->data, b->len, pool);
	} else {
		uint64_t v = 0;

		if (!memcmp(at, none, size_of(f->type)) && !listed)
			return text;
		memcpy(&v, at, size_of(f->type)); /* of a machine with its low bytes first */
		value = apr_psprintf(pool, "%" PRIu64, v);
	}
	return add_text(text, apr_psprintf(pool, "%s = %s\n", place, value));
}

static char *dump_message(char *text, const ProtobufCMessage *message, const char *place, apr_pool_t *pool)
{
	const ProtobufCMessageDescriptor *d = message->descriptor;
	const uint8_t *bytes = (const uint8_t *)message;

	for (unsigned i = 0; i < d->n_fields; i++) {
		const ProtobufCFieldDescriptor *f = &d->fields[i];
		const char *here = apr_psprintf(pool, "%s.%u", place, (unsigned)f->id);
		const void *at = bytes + f->offset;

		if (is_alternative(f) &&
		    *(const uint32_t *)(const void *)(bytes + f->quantifier_offset) != f->id)
			continue;
		if (f->label != PROTOBUF_C_LABEL_REPEATED) {
			text = dump_value(text, f, at, here, 0, pool);
			continue;
		}
		for (size_t k = 0; k < *(const size_t *)(const void *)(bytes + f->quantifier_offset); k++)
			text = dump_value(text, f, *(uint8_t *const *)at + k * size_of(f->type),
					  apr_psprintf(pool, "%s[%u]", here, (unsigned)k), 1, pool);
	}
	return text;
}

const char *walk_dump(const ProtobufCMessage *message, const char *path, apr_pool_t *pool)
{
	return in_pool(dump_message(NULL, message, path, pool), pool);
}
