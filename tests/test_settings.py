"""Settings that a call controller cannot work with are refused, and the error names the field."""

from dataclasses import replace

import pytest

from chutefork.config import ConfigError, parse_address

from .controller_harness import CLASS, SETTINGS


@pytest.mark.parametrize(
    "field, value",
    [
        ("release_s", -0.1),
        ("release_s", None),
        ("controllers", 0),
        ("cold_share", 0.0),
        ("cold_share", 1.5),
        ("tip_multiple", 0.0),
        ("max_attempts", 0),
        ("fall_s", float("nan")),
        ("own_number", -1),
        ("classes", ()),
        ("drain_grace_s", "soon"),
        ("warm_up_s", -1),
    ],
)
def test_unusable_settings_raise_an_error_that_names_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, **{field: value})


@pytest.mark.parametrize(
    "field, value",
    [
        ("aim_s", 99.0),
        ("aim_s", 0.0),
        ("deadline_s", None),
        ("worth", -1.0),
        ("width_circuits", 0),
    ],
)
def test_an_unusable_call_class_raises_an_error_that_names_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        replace(SETTINGS, classes=(replace(CLASS, **{field: value}),))


def test_the_pools_form_needs_pools_for_every_class():
    with pytest.raises(ValueError, match="pools"):
        replace(SETTINGS, pools_form=True, own_number=-1)


def test_a_port_of_digits_that_are_not_decimal_raises_an_error_that_names_the_key():
    # Guards against a start that ends with a traceback in place of the key at fault.
    with pytest.raises(ConfigError, match="listen"):
        parse_address("127.0.0.1:²", "listen")
