//! A request may spend only budgets of its account and model, in the order of the rules.

use peridotrack_types::{name, rules};
use rstest::rstest;

fn budget(name: &str, accounts: &[&str], models: &[&str]) -> rules::Budget {
    rules::Budget {
        name: name.into(),
        purchased_tokens: 1,
        client_accounts: accounts.iter().map(|account| (*account).into()).collect(),
        models: models.iter().map(|model| (*model).into()).collect(),
    }
}

#[rstest]
#[case::every_budget_of_the_account("a", "m", &["first", "shared"])]
#[case::another_model("a", "n", &["shared", "other-model"])]
#[case::another_account("b", "m", &["shared"])]
#[case::unknown_account("c", "m", &[])]
fn budgets_of_an_account_are_in_the_order_of_the_rules(
    #[case] account: &str,
    #[case] model: &str,
    #[case] expected: &[&str],
) {
    let rules = rules::Rules {
        budgets: vec![
            budget("first", &["a"], &["m"]),
            budget("shared", &["b", "a"], &[]),
            budget("other-model", &["a"], &["n"]),
        ],
        ..rules::Rules::default()
    };
    let index = rules::BudgetIndex::new(&rules);
    let (account, model) = (name::ClientAccount::from(account), name::Model::from(model));
    let found: Vec<&str> = index
        .budgets_for(&rules, &account, &model)
        .map(|budget| budget.name.as_str())
        .collect();
    assert_eq!(found, expected);
}
